import { Socket } from 'node:net';
import {
  assertInvariant,
  createFault,
  Diagnostics,
  type Fault,
} from '../../common/diagnostics/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { splitAddress } from '../../common/settings/index.js';
import { TransactionStatus } from '../requests/index.js';
import type { BackendAccess } from './backendAccess.js';
import type { BackendExchange } from './backendExchange.js';
import { FrameScanner, type FrameListener } from './frameScanner.js';
import { FrameType } from './frameType.js';
import { openSocket, type OpenedSocket } from './openSocket.js';

const CANCEL_TIMEOUT_MS = 1000;
const CANCEL_REQUEST_CODE = 80877102;
const MAXIMUM_PREPARED_STATEMENTS = 500;
const STATUS_OFFSET = 5;
const SYNC = Buffer.from([0x53, 0, 0, 0, 4]);

/** One connection to a backend server; it runs one exchange at a time. */
export class BackendConnection implements FrameListener {
  /** Called once when the connection is gone, whoever closed it. */
  onClosed: (() => void) | undefined;
  /** When the connection was ready for its first request. */
  readonly openedMs: number;
  private readonly scanner = new FrameScanner(this);
  private readonly prepared = new Set<string>();
  private exchange: BackendExchange | undefined;
  /** Names of added Parse messages whose answers are still to come. */
  private hiddenParses: string[] = [];
  /** Called with the answers to heartbeats that are still to come, oldest first. */
  private heartbeats: (() => void)[] = [];
  private cancelled = false;
  private closed = false;

  private constructor(
    readonly address: string,
    private readonly opened: OpenedSocket,
    private readonly access: BackendAccess,
    private readonly timer: TimerService,
  ) {
    this.openedMs = timer.now();
    const { socket } = opened;
    socket.on('data', (chunk: Buffer) => this.scanner.push(chunk));
    socket.on('error', (error) => this.fail(error.message));
    socket.on('close', () => this.fail('closed'));
    socket.on('end', () => this.fail('ended by the backend server'));
    socket.resume();
  }

  /** Opens a connection; throws a Fault. */
  static async open(
    address: string,
    access: BackendAccess,
    timeoutMs: number,
    timer: TimerService,
  ): Promise<BackendConnection> {
    const opened = await openSocket(address, access, timeoutMs, timer);
    return new BackendConnection(address, opened, access, timer);
  }

  get isClosed(): boolean {
    return this.closed;
  }

  /** No further request should be given to it although it works. */
  get isWorn(): boolean {
    // A cancel request that comes late would hit the next statement.
    return this.closed || this.cancelled || this.prepared.size > MAXIMUM_PREPARED_STATEMENTS;
  }

  /** Whether a prepared statement of that name exists on the connection. */
  hasPrepared(name: string): boolean {
    return this.prepared.has(name);
  }

  /** Sends a request. */
  run(exchange: BackendExchange): void {
    assertInvariant(this.exchange === undefined, 'a backend connection runs one request at a time');
    if (this.closed) {
      exchange.lost(this.createLostFault('closed'));
      return;
    }
    this.exchange = exchange;
    this.hiddenParses = [...exchange.addedParses];
    const { socket } = this.opened;
    socket.cork();
    for (const part of exchange.payload) {
      socket.write(part);
    }
    socket.uncork();
  }

  /** Asks for a sign of life; the handler is called when it comes. */
  heartbeat(onAnswer: () => void): void {
    assertInvariant(this.exchange === undefined, 'only an idle connection has heartbeats');
    this.heartbeats.push(onAnswer);
    this.opened.socket.write(SYNC);
  }

  /** Stops or continues to read the answer. */
  setPaused(paused: boolean): void {
    if (paused) {
      this.opened.socket.pause();
    } else {
      this.opened.socket.resume();
    }
  }

  /** Asks the backend server to cancel the running request. */
  cancel(): void {
    this.cancelled = true;
    const { host: ip, port } = splitAddress(this.address);
    const socket = new Socket();
    const request = Buffer.alloc(16);
    request.writeInt32BE(16, 0);
    request.writeInt32BE(CANCEL_REQUEST_CODE, 4);
    request.writeInt32BE(this.opened.processId, 8);
    request.writeInt32BE(this.opened.secretKey, 12);
    socket.on('error', () => socket.destroy());
    socket.connect({ host: ip, port, localAddress: this.access.localIp }, () => {
      socket.end(request);
    });
    this.timer.once(CANCEL_TIMEOUT_MS, () => socket.destroy());
  }

  /** Closes the connection; a running request is lost. */
  close(): void {
    this.fail('closed by this daemon');
  }

  passThrough(bytes: Buffer): void {
    this.exchange?.passThrough(bytes);
  }

  invalid(reason: string): void {
    this.fail(reason);
  }

  frame(type: FrameType, bytes: Buffer): void {
    switch (type) {
      case FrameType.ParseComplete:
        this.takeParseComplete(bytes);
        return;
      case FrameType.CommandComplete:
      case FrameType.EmptyQuery:
        this.exchange?.commandComplete(bytes);
        return;
      case FrameType.Error:
        this.takeError(bytes);
        return;
      case FrameType.ReadyForQuery:
        this.takeReady(bytes);
        return;
      case FrameType.CopyIn:
      case FrameType.CopyOut:
      case FrameType.CopyBoth:
        this.fail('the statement began a copy');
        return;
      default:
        // Parameter values and notifications belong to the connection, not to the caller.
        return;
    }
  }

  private takeParseComplete(bytes: Buffer): void {
    const added = this.hiddenParses.shift();
    if (added === undefined) {
      this.exchange?.passThrough(bytes);
    } else if (added !== '') {
      this.prepared.add(added);
    }
  }

  private takeError(bytes: Buffer): void {
    this.hiddenParses = [];
    if (this.exchange === undefined) {
      this.fail('an error came while no request ran');
      return;
    }
    this.exchange.errorResponse(bytes);
  }

  private takeReady(bytes: Buffer): void {
    const status = String.fromCharCode(bytes[STATUS_OFFSET] ?? 0);
    if (!isTransactionStatus(status)) {
      this.fail('an unknown transaction status came');
      return;
    }
    const answered = this.heartbeats.shift();
    if (answered !== undefined) {
      answered();
      return;
    }
    const { exchange } = this;
    if (exchange === undefined) {
      return;
    }
    if (exchange.isLastReady()) {
      this.exchange = undefined;
    }
    exchange.ready(status);
  }

  private fail(reason: string): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.opened.socket.destroy();
    const interrupted = this.exchange;
    this.exchange = undefined;
    interrupted?.lost(this.createLostFault(reason));
    this.onClosed?.();
  }

  private createLostFault(reason: string): Fault {
    const context = { step: 'backend.run', peer: this.address };
    return createFault(Diagnostics.BackendLost, { reason }, context);
  }
}

function isTransactionStatus(status: string): status is TransactionStatus {
  return (
    status === (TransactionStatus.Idle as string) ||
    status === (TransactionStatus.Open as string) ||
    status === (TransactionStatus.Failed as string)
  );
}
