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
import { BackendLink, type BackendExchange, type ProbeAnswer } from '../backend/index.js';
import type { PostgresAccess } from './postgresAccess.js';
import { POSITION_QUERY } from './positionQuery.js';
import { readPosition } from './readPosition.js';
import { FrameScanner, type FrameListener } from './frameScanner.js';
import { FrameType } from './frameType.js';
import { openSocket, type OpenedSocket } from './openSocket.js';

const CANCEL_TIMEOUT_MS = 1000;
const CANCEL_REQUEST_CODE = 80877102;
const MAXIMUM_PREPARED_STATEMENTS = 500;
const STATUS_OFFSET = 5;
const TAG_OFFSET = 5;
const COMMIT_TAG = 'COMMIT';
const SYNC = Buffer.from([0x53, 0, 0, 0, 4]);

/** A PostgreSQL connection to a backend server; runs one exchange at a time. */
export class PostgresLink extends BackendLink implements FrameListener {
  override readonly account = undefined;
  override readonly openedMs: number;
  private readonly scanner = new FrameScanner(this);
  private readonly prepared = new Set<string>();
  private exchange: BackendExchange | undefined;
  /** Progress of the running exchange's answer. */
  private progress = createProgress();
  /** Statement names of inserted Parse messages whose answers are pending. */
  private insertedStatementNames: string[] = [];
  /** Handlers of the heartbeats whose answers are pending, oldest first. */
  private heartbeats: (() => void)[] = [];
  private cancelled = false;
  private closed = false;

  private constructor(
    readonly address: string,
    private readonly opened: OpenedSocket,
    private readonly access: PostgresAccess,
    private readonly timer: TimerService,
  ) {
    super();
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
    access: PostgresAccess,
    timeoutMs: number,
    timer: TimerService,
  ): Promise<PostgresLink> {
    const opened = await openSocket(address, access, timeoutMs, timer);
    return new PostgresLink(address, opened, access, timer);
  }

  override get isClosed(): boolean {
    return this.closed;
  }

  override get isRetired(): boolean {
    // A delayed cancel request would cancel the next statement on this connection.
    return this.closed || this.cancelled || this.prepared.size > MAXIMUM_PREPARED_STATEMENTS;
  }

  override run(exchange: BackendExchange): void {
    assertInvariant(this.exchange === undefined, 'a backend connection runs one request at a time');
    if (this.closed) {
      exchange.handleConnectionLost(this.createLostFault('closed'));
      return;
    }
    const { prepared, payload, mayCommit } = exchange.request;
    const missing = prepared.filter(({ name }) => !this.prepared.has(name));
    this.exchange = exchange;
    this.progress = createProgress();
    this.insertedStatementNames = missing.map(({ name }) => name);
    const { socket } = this.opened;
    socket.cork();
    for (const { message } of missing) {
      socket.write(message);
    }
    socket.write(payload);
    if (mayCommit) {
      socket.write(POSITION_QUERY);
    }
    socket.uncork();
  }

  override heartbeat(onAnswer: () => void): void {
    assertInvariant(this.exchange === undefined, 'heartbeats are sent on idle connections only');
    this.heartbeats.push(onAnswer);
    this.opened.socket.write(SYNC);
  }

  override setPaused(paused: boolean): void {
    if (paused) {
      this.opened.socket.pause();
    } else {
      this.opened.socket.resume();
    }
  }

  override cancel(): void {
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

  override close(): void {
    this.fail('closed by this daemon');
  }

  passThrough(bytes: Buffer): void {
    if (this.progress.inPositionPhase) {
      this.progress.instanceState = readPosition(bytes) ?? this.progress.instanceState;
    } else {
      this.exchange?.receiveAnswer(bytes, false);
    }
  }

  handleInvalid(reason: string): void {
    this.fail(reason);
  }

  handleFrame(type: FrameType, bytes: Buffer): void {
    switch (type) {
      case FrameType.ParseComplete:
        this.handleParseComplete(bytes);
        return;
      case FrameType.CommandComplete:
      case FrameType.EmptyQuery:
        this.handleCommandComplete(bytes);
        return;
      case FrameType.Error:
        this.handleError(bytes);
        return;
      case FrameType.ReadyForQuery:
        this.handleReadyForQuery(bytes);
        return;
      case FrameType.CopyIn:
      case FrameType.CopyOut:
      case FrameType.CopyBoth:
        this.fail('the statement started a COPY, which is not supported');
        return;
      default:
        // Parameter values and notifications concern the pooled connection, not the caller.
        return;
    }
  }

  private handleParseComplete(bytes: Buffer): void {
    const added = this.insertedStatementNames.shift();
    if (added === undefined) {
      this.passThrough(bytes);
    } else if (added !== '') {
      this.prepared.add(added);
    }
  }

  private handleCommandComplete(bytes: Buffer): void {
    if (this.exchange === undefined || this.progress.inPositionPhase) {
      return;
    }
    const tag = bytes.toString('latin1', TAG_OFFSET, TAG_OFFSET + COMMIT_TAG.length);
    this.progress.committed ||= tag === COMMIT_TAG;
    this.exchange.receiveAnswer(bytes, this.exchange.request.mayCommit);
  }

  private handleError(bytes: Buffer): void {
    this.insertedStatementNames = [];
    if (this.exchange === undefined) {
      this.fail('received an error while no request was running');
      return;
    }
    if (!this.progress.inPositionPhase) {
      this.progress.failed = true;
      this.exchange.receiveAnswer(bytes, false);
    }
  }

  private handleReadyForQuery(bytes: Buffer): void {
    const status = String.fromCharCode(bytes[STATUS_OFFSET] ?? 0);
    if (!isTransactionStatus(status)) {
      this.fail('received an unknown transaction status');
      return;
    }
    const onHeartbeatAnswer = this.heartbeats.shift();
    if (onHeartbeatAnswer !== undefined) {
      onHeartbeatAnswer();
      return;
    }
    const { exchange } = this;
    if (exchange === undefined) {
      return;
    }
    const { progress } = this;
    if (!progress.inPositionPhase) {
      progress.status = status;
    }
    if (exchange.request.mayCommit && !progress.inPositionPhase) {
      progress.inPositionPhase = true;
      return;
    }
    this.exchange = undefined;
    const { instanceState, failed, committed } = progress;
    exchange.handleCompletion({
      status: progress.status,
      failed: failed && !committed,
      ...(instanceState === undefined ? {} : { instanceState }),
    });
  }

  private fail(reason: string): void {
    if (this.closed) {
      return;
    }
    this.closed = true;
    this.opened.socket.destroy();
    const interrupted = this.exchange;
    this.exchange = undefined;
    interrupted?.handleConnectionLost(this.createLostFault(reason));
    this.onClosed?.();
  }

  private createLostFault(reason: string): Fault {
    const context = { step: 'backend.run', peer: this.address };
    return createFault(Diagnostics.BackendLost, { reason }, context);
  }
}

/** Progress of one exchange's answer. */
interface ExchangeProgress {
  status: TransactionStatus;
  failed: boolean;
  committed: boolean;
  /** Whether the answer is complete and the answer to the position query follows. */
  inPositionPhase: boolean;
  instanceState: ProbeAnswer | undefined;
}

function createProgress(): ExchangeProgress {
  const status = TransactionStatus.Idle;
  return {
    status,
    failed: false,
    committed: false,
    inPositionPhase: false,
    instanceState: undefined,
  };
}

function isTransactionStatus(status: string): status is TransactionStatus {
  return (
    status === (TransactionStatus.Idle as string) ||
    status === (TransactionStatus.Open as string) ||
    status === (TransactionStatus.Failed as string)
  );
}
