import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import { MeshKind, type Cancel, type MeshLink } from '../mesh/index.js';
import {
  createRefusedOutcome,
  RequestKind,
  RunningRequest,
  type ExecuteRequest,
  type RequestOutcome,
  type ResponseReceiver,
} from '../requests/index.js';

const CREDIT_BYTES = 65_536;

/** Codes of refusals by a daemon that may not have received an earlier attempt. */
const INCONCLUSIVE_REFUSALS: ReadonlySet<number> = new Set([
  Diagnostics.HolderMoved.code,
  Diagnostics.LeaseExpired.code,
]);

type Cancellation = Pick<Cancel, 'abandoned' | 'revoked'>;

/** A request of one of this daemon's callers that another daemon runs. */
export class RemoteRequest extends RunningRequest {
  isFinished = false;
  /** Time at which the link was lost while an answer was awaited. */
  linkLostMs: number | undefined;
  /** Time at which the holder was first observed to no longer hold the group. */
  holderMovedMs: number | undefined;
  private received = 0;
  private creditedBytes = 0;
  private attempts = 0;
  /** Set once the request was cancelled or revoked; resent whenever the request is resent. */
  private cancellation: Cancellation | undefined;

  constructor(
    readonly request: ExecuteRequest,
    readonly address: string,
    readonly firstSentMs: number,
    private readonly receiver: ResponseReceiver,
    private readonly getLink: () => MeshLink,
    private readonly onFinished: () => void,
  ) {
    super();
  }

  /**
   * Whether the holder may run the request at once: it was sent to a reader outside a transaction
   * and no bytes of its answer arrived.
   */
  get canFallBackToHolder(): boolean {
    const { instance, transaction } = this.request;
    return instance !== undefined && transaction === undefined && this.received === 0;
  }

  /** Sends the request, or requests the rest of its answer. */
  send(nowMs: number): void {
    this.attempts += 1;
    this.linkLostMs = undefined;
    const remainingMs = Math.max(0, this.request.remainingMs - (nowMs - this.firstSentMs));
    const request = { ...this.request, remainingMs };
    this.getLink().send({ kind: MeshKind.Execute, request, received: this.received });
    if (this.cancellation !== undefined) {
      this.sendCancel(this.cancellation);
    }
  }

  /** Receives bytes of the answer at an offset; skips those that were received already. */
  receiveBytes(offset: number, bytes: Uint8Array): void {
    const newBytes = bytes.subarray(Math.max(0, this.received - offset));
    if (offset > this.received || newBytes.length === 0) {
      return;
    }
    this.received += newBytes.length;
    this.receiver.accept(newBytes);
  }

  /** Receives the end of the answer. */
  receiveEnd(offset: number, bytes: Uint8Array, outcome: RequestOutcome): void {
    this.receiveBytes(offset, bytes);
    if (offset + bytes.length !== this.received) {
      return;
    }
    const { fault } = outcome;
    if (fault !== undefined && this.attempts > 1 && INCONCLUSIVE_REFUSALS.has(fault.code)) {
      this.endUnanswered('the holder changed while the answer was awaited');
      return;
    }
    this.end(outcome);
  }

  /**
   * Ends the request without an answer. The reported outcome is unknown, unless the request is
   * inside a transaction that it does not commit: that transaction is rolled back.
   */
  endUnanswered(reason: string): void {
    this.end(createRefusedOutcome(this.createUnansweredFault(reason)));
  }

  override consume(consumed: number): void {
    if (!this.isFinished && consumed - this.creditedBytes >= CREDIT_BYTES) {
      this.creditedBytes = consumed;
      this.getLink().send({ kind: MeshKind.ResponseCredit, id: this.request.id, consumed });
    }
  }

  override cancel(): void {
    this.sendCancel({ abandoned: false });
  }

  override revoke(): void {
    this.sendCancel({ abandoned: false, revoked: true });
  }

  override abandon(): void {
    this.sendCancel({ abandoned: true });
  }

  private sendCancel(cancellation: Cancellation): void {
    this.cancellation = cancellation;
    if (!this.isFinished) {
      this.getLink().send({ kind: MeshKind.Cancel, id: this.request.id, ...cancellation });
    }
  }

  private end(outcome: RequestOutcome): void {
    if (!this.isFinished) {
      this.isFinished = true;
      this.onFinished();
      this.receiver.finish(outcome);
    }
  }

  private createUnansweredFault(reason: string): Fault {
    const step = 'entry.forward';
    const context = { step, peer: this.address, execution: Execution.Unknown };
    const { kind, transaction, mayCommit } = this.request;
    if (transaction !== undefined && !mayCommit) {
      // The holder rolls back a transaction that is not committed.
      const notRun = { ...context, execution: Execution.NotRun };
      return createFault(Diagnostics.TransactionLost, {}, notRun);
    }
    return kind === RequestKind.Read
      ? createFault(Diagnostics.MeshUnreachable, { reason }, context)
      : createFault(Diagnostics.OutcomeUnknown, {}, context);
  }
}
