import { WebSocket, type RawData } from 'ws';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { TrafficDirection, type MeshTraffic } from '../../common/metrics/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { FrameCodec } from './frameCodec.js';
import { MeshKind } from './meshKind.js';
import type { Hello, MeshMessage } from './meshMessage.js';
import type { MeshPeer } from './meshPeer.js';

/** Interval at which the owner has to call `checkLiveness`. */
export const HEARTBEAT_INTERVAL_MS = 250;
const RECEIVE_TIMEOUT_MS = 800;
/** Time after which a link that carried nothing but heartbeats is idle. */
const IDLE_AFTER_MS = 2000;
/** Interval between heartbeats of an idle link. */
const IDLE_HEARTBEAT_INTERVAL_MS = 1000;
/**
 * Time within which a host that accepted the connection has to send its greeting. An overloaded
 * host is slow to do so, and closing the link earlier adds to its load: it has to process another
 * connection.
 */
export const GREETING_TIMEOUT_MS = 3000;
const CLOSE_TIMEOUT_MS = 200;
const MAXIMUM_WAITING_MESSAGES = 10_000;

/** Version of the mesh protocol; daemons of other versions are refused. */
export const MESH_VERSION = 3;

/** Receives the events of a link. */
export interface MeshLinkOwner {
  /** Counts what all links send and receive. */
  readonly traffic: MeshTraffic;
  linkOpened(link: MeshLink): void;
  messageReceived(link: MeshLink, message: MeshMessage): void;
  linkClosed(link: MeshLink, fault: Fault): void;
}

/**
 * WebSocket connection to another daemon; closed independently of others when it is unresponsive.
 */
export class MeshLink {
  peer: MeshPeer | undefined;
  private waiting: MeshMessage[] = [];
  private readonly codec = new FrameCodec();
  /** Whether this side opened the link and therefore sends the heartbeats. */
  private readonly isOpener: boolean;
  private closed = false;
  /** Whether the other host accepted the connection; its process may not have seen it yet. */
  private isConnected = false;
  private lastReceivedMs: number;
  private lastCheckMs: number;
  private lastSentMs: number;
  /** Time at which a message other than a heartbeat was last sent or received. */
  private lastUsedMs: number;
  private sequence = 0;

  constructor(
    /** Address that was dialled, or the remote address of an incoming socket. */
    readonly address: string,
    private readonly socket: WebSocket,
    private readonly hello: Hello,
    private readonly timer: TimerService,
    private readonly owner: MeshLinkOwner,
  ) {
    this.lastReceivedMs = timer.now();
    this.lastCheckMs = this.lastReceivedMs;
    this.lastSentMs = this.lastReceivedMs;
    this.lastUsedMs = this.lastReceivedMs;
    this.isOpener = socket.readyState !== WebSocket.OPEN;
    socket.binaryType = 'nodebuffer';
    socket.on('open', () => this.sendHello());
    socket.on('message', (data) => this.receive(data));
    socket.on('close', () => this.close('connection closed by the peer'));
    socket.on('error', (error) => this.close(error.message));
    if (socket.readyState === WebSocket.OPEN) {
      this.sendHello();
    }
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** Mesh address of the other side: the dialled one, or the one in its greeting. */
  get target(): string {
    return this.isOpener ? this.address : (this.peer?.address ?? this.address);
  }

  /** Number of bytes sent but not yet accepted by the network. */
  get unsentBytes(): number {
    return this.socket.bufferedAmount;
  }

  /** Records that the other host accepted the connection. */
  recordConnected(): void {
    this.isConnected = true;
    this.lastReceivedMs = this.timer.now();
  }

  /** Sends the messages that wait for the greeting over another link, which is already open. */
  transferWaiting(link: MeshLink): void {
    for (const message of this.waiting.splice(0)) {
      link.send(message);
    }
  }

  /** Sends a message; queues it until the greeting of the other side was received. */
  send(message: MeshMessage): void {
    if (this.closed) {
      return;
    }
    this.recordUse();
    if (this.peer !== undefined) {
      this.socket.send(this.encode(message));
      return;
    }
    this.waiting.push(message);
    if (this.waiting.length > MAXIMUM_WAITING_MESSAGES) {
      this.close(`more than ${MAXIMUM_WAITING_MESSAGES} messages are queued for the link to open`);
    }
  }

  /**
   * Closes the link after the messages sent were delivered, or when the peer does not answer in
   * time.
   */
  async finish(): Promise<void> {
    if (this.closed) {
      return;
    }
    await new Promise<void>((resolve) => {
      this.socket.once('close', () => resolve());
      this.timer.once(CLOSE_TIMEOUT_MS, () => resolve());
      this.socket.close();
    });
    this.close('shutdown');
  }

  /** Closes the link immediately and notifies the owner. */
  close(reason: string): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.waiting = [];
    this.socket.terminate();
    const fault = createFault(
      Diagnostics.MeshLinkLost,
      { reason },
      { step: 'mesh.link', peer: this.address },
    );
    this.owner.linkClosed(this, fault);
  }

  /**
   * Sends a heartbeat when one is due, and closes the link if nothing was received for too long; to
   * be called at the heartbeat interval.
   */
  checkLiveness(nowMs: number): void {
    const wasPaused = nowMs - this.lastCheckMs > 2 * HEARTBEAT_INTERVAL_MS;
    this.lastCheckMs = nowMs;
    if (wasPaused) {
      // This process was paused: that nothing was received says nothing about the other side.
      this.lastReceivedMs = nowMs;
    }
    const isIdle = this.isIdle(nowMs);
    const sinceReceivedMs = nowMs - this.lastReceivedMs;
    if (sinceReceivedMs > this.getReceiveTimeoutMs(isIdle)) {
      this.close(`no message received for ${Math.round(sinceReceivedMs)} ms`);
      return;
    }
    // Each side relies on what it receives: a heartbeat is due when either side has sent nothing.
    const inactiveMs = Math.max(sinceReceivedMs, nowMs - this.lastSentMs);
    const intervalMs = isIdle ? IDLE_HEARTBEAT_INTERVAL_MS : HEARTBEAT_INTERVAL_MS;
    const isDue = this.isOpener && inactiveMs >= intervalMs - HEARTBEAT_INTERVAL_MS / 2;
    if (isDue && this.socket.readyState === WebSocket.OPEN) {
      this.sequence += 1;
      this.sendNow({ kind: MeshKind.Heartbeat, sequence: this.sequence });
    }
  }

  private sendHello(): void {
    this.socket.send(this.encode(this.hello));
  }

  private encode(message: MeshMessage): Uint8Array {
    this.lastSentMs = this.timer.now();
    const frame = this.codec.encode(message);
    this.count(TrafficDirection.Sent, message, frame.length);
    return frame;
  }

  private count(direction: TrafficDirection, { kind }: MeshMessage, byteLength: number): void {
    this.owner.traffic.record(direction, MeshKind[kind], byteLength);
  }

  private receive(data: RawData): void {
    this.lastReceivedMs = this.timer.now();
    const frame = data as Buffer;
    const decoded = this.codec.tryDecode(frame, this.address);
    if (decoded.isErr()) {
      this.close(decoded.error.message);
      return;
    }
    this.count(TrafficDirection.Received, decoded.value, frame.length);
    this.handleMessage(decoded.value);
  }

  private handleMessage(message: MeshMessage): void {
    switch (message.kind) {
      case MeshKind.Hello:
        this.handleHello(message);
        return;
      case MeshKind.Heartbeat:
        this.sendNow({ kind: MeshKind.HeartbeatAnswer, sequence: message.sequence });
        return;
      case MeshKind.HeartbeatAnswer:
        return;
      default:
        if (this.peer === undefined) {
          this.close('a message was received before the greeting');
          return;
        }
        this.lastUsedMs = this.lastReceivedMs;
        this.owner.messageReceived(this, message);
    }
  }

  private handleHello(hello: Hello): void {
    if (hello.version !== MESH_VERSION || this.peer !== undefined) {
      this.close(`unexpected greeting of version ${hello.version}, own version ${MESH_VERSION}`);
      return;
    }
    this.peer = { host: hello.host, incarnation: hello.incarnation, address: hello.address };
    for (const message of this.waiting) {
      this.socket.send(this.encode(message));
    }
    this.waiting = [];
    this.owner.linkOpened(this);
  }

  private sendNow(message: MeshMessage): void {
    if (!this.closed) {
      this.socket.send(this.encode(message));
    }
  }

  /** Records that a message is to be sent; on an idle link the receive time-out starts anew. */
  private recordUse(): void {
    const nowMs = this.timer.now();
    if (this.isIdle(nowMs)) {
      this.lastReceivedMs = nowMs;
    }
    this.lastUsedMs = nowMs;
  }

  private getReceiveTimeoutMs(isIdle: boolean): number {
    if (this.isConnected && this.peer === undefined) {
      return GREETING_TIMEOUT_MS;
    }
    return isIdle ? RECEIVE_TIMEOUT_MS + IDLE_HEARTBEAT_INTERVAL_MS : RECEIVE_TIMEOUT_MS;
  }

  private isIdle(nowMs: number): boolean {
    return nowMs - this.lastUsedMs >= IDLE_AFTER_MS;
  }
}
