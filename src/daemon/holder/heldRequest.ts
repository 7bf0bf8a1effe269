import { Parser } from 'pg-protocol/dist/parser.js';
import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import { toTerm } from '../../common/ids/index.js';
import { tryParseLogPosition } from '../../common/logPosition.js';
import type { SessionPosition } from '../../decisions/sessions/index.js';
import { BackendExchange, type BackendConnection, type ProbeAnswer } from '../backend/index.js';
import {
  RequestKind,
  toRequestFault,
  TransactionStatus,
  type ExecuteRequest,
  type RequestOutcome,
  type ResponseReceiver,
} from '../requests/index.js';
import type { HeldInstance } from './heldInstance.js';
import { POSITION_QUERY } from './positionQuery.js';

const TAG_OFFSET = 5;
const WINDOW_BYTES = 262_144;
const MAXIMUM_HELD_BACK_BYTES = 33_554_432;

/** A row in text form. */
interface Row {
  readonly fields: readonly (string | null)[];
}

/** What the owner of a request learns from its run. */
export interface HeldRequestOwner {
  /** The answer is whole; `written` is the position after a commit that is to be confirmed. */
  requestRan(request: HeldRequest, written: ProbeAnswer | undefined): void;
  /** The connection was lost while the request ran. */
  requestLost(request: HeldRequest, fault: Fault): void;
}

/** One request at its holder, from its arrival to the end of its answer. */
export class HeldRequest extends BackendExchange {
  override payload: readonly Uint8Array[] = [];
  override addedParses: readonly string[] = [];
  connection: BackendConnection | undefined;
  instance: HeldInstance | undefined;
  /** Called once when the answer has ended. */
  onFinished: (() => void) | undefined;
  status = TransactionStatus.Idle;
  onReplica = false;
  /** Some byte of an answer has gone to the receiver. */
  answered = false;
  /** Some byte came back over the backend connection. */
  heard = false;
  finished = false;
  /** Nobody waits for the answer; the connection is closed after it. */
  abandoned = false;
  /** The deadline has passed and the backend server was asked to cancel. */
  timedOut = false;
  startedMs: number | undefined;
  endedMs: number | undefined;
  private heldBack: Buffer[] = [];
  private heldBackBytes = 0;
  private holding = false;
  private failed = false;
  private committed = false;
  private inPositionPhase = false;
  private written: ProbeAnswer | undefined;
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
    return this.failed && !this.committed;
  }

  /** Sends the request over a connection. */
  run(connection: BackendConnection, owner: HeldRequestOwner, nowMs: number): void {
    const missing = this.request.prepared.filter(({ name }) => !connection.hasPrepared(name));
    this.owner = owner;
    this.connection = connection;
    this.startedMs = nowMs;
    this.addedParses = missing.map(({ name }) => name);
    const parses = missing.map(({ message }) => message);
    const tail = this.request.mayCommit ? [POSITION_QUERY] : [];
    this.payload = [...parses, this.request.payload, ...tail];
    connection.run(this);
  }

  /** Makes it ready for another attempt after one that had no effect. */
  reset(): void {
    this.connection = undefined;
    this.startedMs = undefined;
    this.heldBack = [];
    this.heldBackBytes = 0;
    this.heard = false;
    this.holding = false;
    this.failed = false;
    this.committed = false;
    this.inPositionPhase = false;
    this.written = undefined;
  }

  /** Notes how much of the answer the receiver has consumed. */
  consume(consumed: number): void {
    this.consumedBytes = Math.max(this.consumedBytes, consumed);
    // After its answer the connection may serve another request.
    if (this.endedMs === undefined && this.sentBytes - this.consumedBytes <= WINDOW_BYTES / 2) {
      this.connection?.setPaused(false);
    }
  }

  override passThrough(bytes: Buffer): void {
    this.heard = true;
    if (this.inPositionPhase) {
      this.readPosition(bytes);
    } else {
      this.forward(bytes);
    }
  }

  override commandComplete(frame: Buffer): void {
    this.heard = true;
    if (this.inPositionPhase) {
      return;
    }
    this.holding ||= this.request.mayCommit;
    this.committed ||= frame.toString('latin1', TAG_OFFSET, TAG_OFFSET + 6) === 'COMMIT';
    this.forward(frame);
  }

  override errorResponse(frame: Buffer): void {
    this.heard = true;
    if (!this.inPositionPhase) {
      this.failed = true;
      this.forward(frame);
    }
  }

  override isLastReady(): boolean {
    return this.inPositionPhase || !this.request.mayCommit;
  }

  override ready(status: TransactionStatus): void {
    if (!this.inPositionPhase) {
      this.status = status;
    }
    if (this.inPositionPhase || !this.request.mayCommit) {
      this.connection?.setPaused(false);
      this.owner?.requestRan(this, this.written);
      return;
    }
    this.inPositionPhase = true;
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
    if (!this.holding) {
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
    this.holding = false;
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

  private readPosition(bytes: Buffer): void {
    new Parser().parse(bytes, (message) => {
      if (message.name === 'dataRow') {
        this.written = toProbeAnswer((message as unknown as Row).fields);
      }
    });
  }
}

/** What the owner adds to a request's outcome. */
export interface OutcomeDetails {
  readonly nowMs: number;
  readonly transaction?: string;
  readonly position?: SessionPosition;
}

/** The fault of a request whose commit could not be confirmed. */
export function createUnknownOutcome(step: string, peer: string | undefined): Fault {
  const context = { step, execution: Execution.Unknown, ...(peer === undefined ? {} : { peer }) };
  return createFault(Diagnostics.OutcomeUnknown, {}, context);
}

function toProbeAnswer(fields: readonly (string | null)[]): ProbeAnswer | undefined {
  const position = tryParseLogPosition(fields[1] ?? '');
  if (position.isErr()) {
    return undefined;
  }
  return {
    inRecovery: fields[0]?.startsWith('t') === true,
    position: position.value,
    term: toTerm(Number(fields[2])),
  };
}
