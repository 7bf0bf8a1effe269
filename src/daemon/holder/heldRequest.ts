import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
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

/** What was known of the instance that a request was routed to. */
export interface RequestRouting {
  readonly position: SessionPosition | undefined;
  /** How old that position was, in milliseconds. */
  readonly ageMs: number;
  /** Requests that ran or waited there. */
  readonly load: number;
}

/** What the owner of a request learns from its run. */
export interface HeldRequestOwner {
  /** The answer is whole; `standing` says where the instance stands after it. */
  requestRan(request: HeldRequest, state: ProbeAnswer | undefined): void;
  /** The backend server did not run the request. */
  requestDeclined(request: HeldRequest, refusal: BackendRefusal): void;
  /** The connection was lost while the request ran. */
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
  onReplica = false;
  /** A replica lacked its minimum: the next attempt goes to the primary. */
  avoidsReplicas = false;
  /** Some byte of an answer has gone to the receiver. */
  answered = false;
  /** Some byte came back over the backend connection. */
  hasReceived = false;
  finished = false;
  /** Nobody waits for the answer; the connection is closed after it. */
  abandoned = false;
  /** The deadline has passed and the backend server was asked to cancel. */
  timedOut = false;
  /** The furthest position of the primary that was seen before it was sent. */
  primaryBefore: SessionPosition | undefined;
  /** What decided its last routing, for logs. */
  routing: RequestRouting | undefined;
  /** Age of what its reader knew of acknowledged writes, in milliseconds; absent at holders. */
  feedAgeMs: number | undefined;
  /** How often it was moved from one instance's queue to another's. */
  moves = 0;
  /** Attempts that a backend server declined. */
  declines = 0;
  /** Why it has no whole answer. */
  fault: RequestFault | undefined;
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

  /** The request ended with an error of the backend server and committed nothing. */
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

  /** Makes it ready for another attempt after one that had no effect. */
  reset(): void {
    this.connection = undefined;
    this.startedMs = undefined;
    this.heldBack = [];
    this.heldBackBytes = 0;
    this.hasReceived = false;
    this.isHoldingBack = false;
    this.failed = false;
    this.instance = undefined;
  }

  /** Notes how much of the answer the receiver has consumed. */
  consume(consumed: number): void {
    this.consumedBytes = Math.max(this.consumedBytes, consumed);
    // After its answer the connection may serve another request.
    if (this.endedMs === undefined && this.sentBytes - this.consumedBytes <= WINDOW_BYTES / 2) {
      this.connection?.setPaused(false);
    }
  }

  override answer(bytes: Buffer, isAcknowledgement: boolean): void {
    this.hasReceived = true;
    this.isHoldingBack ||= isAcknowledgement;
    this.forward(bytes);
  }

  override ran({ status, failed, standing: state }: ExchangeResult): void {
    this.hasReceived = true;
    this.status = status;
    this.failed = failed;
    this.connection?.setPaused(false);
    this.owner?.requestRan(this, state);
  }

  override declined(refusal: BackendRefusal, status: TransactionStatus): void {
    this.hasReceived = true;
    this.declines += 1;
    this.status = status;
    this.owner?.requestDeclined(this, refusal);
  }

  override lost(fault: Fault): void {
    this.owner?.requestLost(this, fault);
  }

  /** Ends the request with its whole answer. */
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
    ending: Pick<RequestOutcome, 'fault'>,
    { transaction, position, nowMs }: OutcomeDetails,
  ): void {
    if (this.finished) {
      return;
    }
    this.finished = true;
    this.fault = ending.fault;
    this.onFinished?.();
    const startedMs = this.startedMs ?? nowMs;
    const endedMs = this.endedMs ?? nowMs;
    this.receiver.finish({
      ...ending,
      status: this.status,
      wrote: this.request.kind !== RequestKind.Read,
      onReplica: this.onReplica,
      waitMs: startedMs - this.arrivedMs,
      serviceMs: endedMs - startedMs,
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

/** What the owner adds to a request's outcome. */
export interface OutcomeDetails {
  readonly nowMs: number;
  readonly transaction?: string;
  readonly position?: SessionPosition;
}

/** The fault of a request whose commit could not be confirmed. */
export function createOutcomeUnknownFault(step: string, peer: string | undefined): Fault {
  const context = { step, execution: Execution.Unknown, ...(peer === undefined ? {} : { peer }) };
  return createFault(Diagnostics.OutcomeUnknown, {}, context);
}
