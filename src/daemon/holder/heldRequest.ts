import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { InstanceId, WindowNumber } from '../../common/ids/index.js';
import type { LoadReport } from '../../decisions/overload/index.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import {
  BackendExchange,
  type BackendLink,
  type BackendRefusal,
  type ExchangeResult,
  type ProbeAnswer,
} from '../backend/index.js';
import {
  RequestKind,
  toRequestFault,
  TransactionStatus,
  type ExecuteRequest,
  type RequestFault,
  type RequestOutcome,
  type ResponseReceiver,
} from '../requests/index.js';
import type { HeldInstance } from './heldInstance.js';

const WINDOW_BYTES = 262_144;
const MAXIMUM_HELD_BACK_BYTES = 33_554_432;

/** State of an instance at the time a request was routed to it. */
export interface RequestRouting {
  readonly position: SessionPosition | undefined;
  /** Age of the position in milliseconds. */
  readonly ageMs: number;
  /** Number of requests that ran or waited on the instance. */
  readonly load: number;
}

/** Receives the result of running a request. */
export interface HeldRequestOwner {
  /** Called when the answer is complete; `state` is that of the instance after it, if reported. */
  requestRan(request: HeldRequest, state: ProbeAnswer | undefined): void;
  /** Called when the backend server did not run the request. */
  requestDeclined(request: HeldRequest, refusal: BackendRefusal): void;
  /** Called when the connection was lost while the request ran. */
  requestLost(request: HeldRequest, fault: Fault): void;
}

/** One request at its holder, from its arrival to the end of its answer. */
export class HeldRequest extends BackendExchange {
  override minimum: SessionPosition | undefined;
  connection: BackendLink | undefined;
  instance: HeldInstance | undefined;
  /** Called once when the answer has ended. */
  onFinished: (() => void) | undefined;
  status = TransactionStatus.Idle;
  /** Whether the request was routed to a replica. */
  onReplica = false;
  /**
   * Whether replicas are left out at the next attempt, since an instance lacked the minimum
   * position.
   */
  avoidsReplicas = false;
  /** Whether any byte of an answer was sent to the receiver. */
  answered = false;
  /** Whether any answer to the request came over the backend connection. */
  hasReceived = false;
  finished = false;
  /** Whether no caller waits for the answer; the connection is closed after it. */
  abandoned = false;
  /** Whether the deadline has passed and the backend server was requested to cancel. */
  timedOut = false;
  /** The furthest position observed at the primary before the request was sent. */
  primaryPositionBefore: SessionPosition | undefined;
  /** State on which the last routing was based, for logs. */
  routing: RequestRouting | undefined;
  /** Age in milliseconds of the acknowledged position known to the reader; absent at holders. */
  feedAgeMs: number | undefined;
  /** Number of moves from one instance's queue to another's. */
  moves = 0;
  /** Number of attempts that a backend server declined. */
  declines = 0;
  /** Time before which the request is not routed again. */
  retryAtMs = 0;
  /** Instance that last declined the request because it was busy. */
  busyInstance: InstanceId | undefined;
  /** Whether the caller cancelled or abandoned the request while it ran. */
  wasCancelled = false;
  /** Returns the load report to send with the answer, if one is due. */
  getLoad: (() => LoadReport | undefined) | undefined;
  /** Why there is no complete answer; absent without a fault. */
  fault: RequestFault | undefined;
  /** Usage window in which the present attempt was counted; absent where none is. */
  usageWindow: WindowNumber | undefined;
  startedMs: number | undefined;
  endedMs: number | undefined;
  private heldBack: Buffer[] = [];
  private heldBackBytes = 0;
  private isHoldingBack = false;
  private failed = false;
  private sentBytes = 0;
  private consumedBytes = 0;
  private owner: HeldRequestOwner | undefined;

  constructor(
    readonly request: ExecuteRequest,
    private readonly receiver: ResponseReceiver,
    readonly arrivedMs: number,
  ) {
    super();
  }

  get deadlineMs(): number {
    return this.arrivedMs + this.request.remainingMs;
  }

  /** Number of bytes of the answer that were sent to the receiver. */
  get answerLength(): number {
    return this.sentBytes;
  }

  /** Whether the request ended with an error of the backend server and committed nothing. */
  get failedOnServer(): boolean {
    return this.failed;
  }

  /** Sends the request over a connection. */
  run(connection: BackendLink, owner: HeldRequestOwner, nowMs: number): void {
    this.owner = owner;
    this.connection = connection;
    this.startedMs = nowMs;
    connection.run(this);
  }

  /** Resets the request for another attempt after one that had no effect. */
  reset(): void {
    this.connection = undefined;
    this.startedMs = undefined;
    this.usageWindow = undefined;
    this.heldBack = [];
    this.heldBackBytes = 0;
    this.hasReceived = false;
    this.isHoldingBack = false;
    this.failed = false;
    this.instance = undefined;
  }

  /** Records how many bytes of the answer the receiver has consumed in total. */
  consume(consumed: number): void {
    this.consumedBytes = Math.max(this.consumedBytes, consumed);
    // After the answer, the connection may already run another request.
    if (this.endedMs === undefined && this.sentBytes - this.consumedBytes <= WINDOW_BYTES / 2) {
      this.connection?.setPaused(false);
    }
  }

  override receiveAnswer(bytes: Buffer, isAcknowledgement: boolean): void {
    this.hasReceived = true;
    this.isHoldingBack ||= isAcknowledgement;
    this.forward(bytes);
  }

  override handleCompletion({ status, failed, instanceState: state }: ExchangeResult): void {
    this.hasReceived = true;
    this.status = status;
    this.failed = failed;
    this.connection?.setPaused(false);
    this.owner?.requestRan(this, state);
  }

  override handleRefusal(refusal: BackendRefusal, status: TransactionStatus): void {
    this.hasReceived = true;
    this.declines += 1;
    this.status = status;
    this.owner?.requestDeclined(this, refusal);
  }

  override handleConnectionLost(fault: Fault): void {
    this.owner?.requestLost(this, fault);
  }

  /** Ends the request with its complete answer. */
  finish(details: OutcomeDetails): void {
    this.flush();
    this.end({}, details);
  }

  /** Ends the request with a fault instead of the rest of its answer. */
  fail(fault: Fault, details: OutcomeDetails): void {
    this.heldBack = [];
    this.end({ fault: toRequestFault(fault) }, details);
  }

  private end(
    result: Pick<RequestOutcome, 'fault'>,
    { transaction, position, nowMs }: OutcomeDetails,
  ): void {
    if (this.finished) {
      return;
    }
    this.finished = true;
    this.fault = result.fault;
    this.onFinished?.();
    const startedMs = this.startedMs ?? nowMs;
    const endedMs = this.endedMs ?? nowMs;
    const load = this.getLoad?.();
    this.receiver.finish({
      ...result,
      status: this.status,
      wrote: this.request.kind !== RequestKind.Read,
      onReplica: this.onReplica,
      waitMs: startedMs - this.arrivedMs,
      serviceMs: endedMs - startedMs,
      ...(load === undefined ? {} : { load }),
      ...(transaction === undefined ? {} : { transaction }),
      ...(position === undefined ? {} : { position }),
    });
  }

  private forward(bytes: Buffer): void {
    if (!this.isHoldingBack) {
      this.send(bytes);
      return;
    }
    this.heldBack.push(Buffer.from(bytes));
    this.heldBackBytes += bytes.length;
    if (this.heldBackBytes > MAXIMUM_HELD_BACK_BYTES) {
      this.connection?.close();
    }
  }

  private flush(): void {
    this.isHoldingBack = false;
    for (const bytes of this.heldBack.splice(0)) {
      this.send(bytes);
    }
  }

  private send(bytes: Buffer): void {
    this.answered = true;
    this.sentBytes += bytes.length;
    this.receiver.accept(bytes);
    if (this.endedMs === undefined && this.sentBytes - this.consumedBytes > WINDOW_BYTES) {
      this.connection?.setPaused(true);
    }
  }
}

/** Details that the owner adds to a request's outcome. */
export interface OutcomeDetails {
  readonly nowMs: number;
  readonly transaction?: string;
  readonly position?: SessionPosition;
}

/** Creates the fault of a request whose commit could not be confirmed. */
export function createOutcomeUnknownFault(step: string, peer: string | undefined): Fault {
  const context = { step, execution: Execution.Unknown, ...(peer === undefined ? {} : { peer }) };
  return createFault(Diagnostics.OutcomeUnknown, {}, context);
}
