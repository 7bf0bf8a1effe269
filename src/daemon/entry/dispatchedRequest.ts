import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { InstanceId } from '../../common/ids/index.js';
import { mayRetry } from '../../decisions/routing/index.js';
import {
  createRefusedOutcome,
  RequestKind,
  ResponseReceiver,
  toFault,
  type RequestOutcome,
  RunningRequest,
} from '../requests/index.js';
import type { RequestDraft } from './dispatcher.js';

const RETRY_DELAY_MS = 10;

/** Refusals after which another holder, or the same one later, may run the request. */
const RETRIED_REFUSALS: ReadonlySet<number> = new Set([
  Diagnostics.HolderMoved.code,
  Diagnostics.LeaseExpired.code,
  Diagnostics.NoHolder.code,
  Diagnostics.MeshUnreachable.code,
  Diagnostics.BackendLost.code,
  Diagnostics.BackendUnreachable.code,
]);

/** What a dispatched request needs of its dispatcher. */
export interface DispatchQueue {
  now(): number;
  /** Places the request again later. */
  waitForHolder(dispatched: DispatchedRequest): void;
  /** Takes a request out that waits to be placed; false when it does not wait. */
  stopWaiting(dispatched: DispatchedRequest): boolean;
  /** Why a request that waits to be placed can't be. */
  createWaitFault(dispatched: DispatchedRequest): Fault;
}

/** One caller's request over all its attempts. */
export class DispatchedRequest extends ResponseReceiver {
  isEnded = false;
  retryAtMs = 0;
  /** The last refusal, shown when no attempt succeeds before the deadline. */
  lastFault: Fault | undefined;
  /** The replica whose reader it was last sent to. */
  reader: InstanceId | undefined;
  /** Why that reader did not run it. */
  readerFault: Fault | undefined;
  /** A reader did not run it: the holder is to. */
  hasTriedReader = false;
  private running: RunningRequest | undefined;
  /** Why an attempt to write ended that may have been run. */
  private uncertainFault: RequestOutcome['fault'];
  private answered = false;
  private wasCancelled = false;

  constructor(
    readonly draft: RequestDraft,
    readonly deadlineMs: number,
    private readonly receiver: ResponseReceiver,
    private readonly queue: DispatchQueue,
  ) {
    super();
  }

  /** An attempt began; it may have ended already. */
  setRunning(running: RunningRequest | undefined): void {
    this.running = running;
  }

  override accept(bytes: Uint8Array): void {
    this.answered = true;
    this.receiver.accept(bytes);
  }

  override finish(outcome: RequestOutcome): void {
    if (this.isEnded) {
      return;
    }
    if (this.shouldRetry(outcome)) {
      this.retryAtMs = this.queue.now() + RETRY_DELAY_MS;
      this.queue.waitForHolder(this);
      return;
    }
    this.isEnded = true;
    this.receiver.finish(this.applyUncertainFault(outcome));
  }

  /** The caller wants no answer any more, or cancelled the request. */
  get isCancelled(): boolean {
    return this.wasCancelled;
  }

  /** A reader did not run it, and nothing is left of the attempt. */
  handleReaderFailure(fault: Fault | undefined): void {
    this.hasTriedReader = true;
    this.readerFault = fault;
    this.running = undefined;
    this.queue.waitForHolder(this);
  }

  consume(consumed: number): void {
    this.running?.consume(consumed);
  }

  cancel(): void {
    this.wasCancelled = true;
    if (!this.refuseWaiting()) {
      this.running?.cancel();
    }
  }

  abandon(): void {
    this.wasCancelled = true;
    if (!this.refuseWaiting()) {
      this.running?.abandon();
    }
  }

  /** Ends the wait for a holder without an answer; the fault that kept it waiting, if it waited. */
  withdraw(): Fault | undefined {
    if (!this.queue.stopWaiting(this)) {
      return undefined;
    }
    this.isEnded = true;
    return this.queue.createWaitFault(this);
  }

  /** A cancelled request that waits for a holder is never placed. */
  private refuseWaiting(): boolean {
    if (!this.queue.stopWaiting(this)) {
      return false;
    }
    const fault = createFault(Diagnostics.RequestCancelled, {}, { step: 'entry.dispatch' });
    this.finish(createRefusedOutcome(fault));
    return true;
  }

  /** A later attempt that was refused says nothing of an earlier one that may have been run. */
  private applyUncertainFault(outcome: RequestOutcome): RequestOutcome {
    const isRefused = outcome.fault?.execution === Execution.NotRun;
    return this.uncertainFault !== undefined && isRefused
      ? { ...outcome, fault: this.uncertainFault }
      : outcome;
  }

  private shouldRetry({ fault }: RequestOutcome): boolean {
    if (fault === undefined || this.wasCancelled) {
      return false;
    }
    if (fault.execution !== Execution.NotRun && this.draft.kind !== RequestKind.Read) {
      this.uncertainFault ??= fault;
    }
    this.lastFault = toFault(this.uncertainFault ?? fault);
    const isRetryable = RETRIED_REFUSALS.has(fault.code) || fault.execution !== Execution.NotRun;
    return (
      isRetryable &&
      mayRetry({
        execution: fault.execution,
        idempotent: this.draft.idempotent,
        answered: this.answered,
        inTransaction: this.draft.transaction !== undefined,
        nowMs: this.queue.now(),
        deadlineMs: this.deadlineMs,
      })
    );
  }
}

/** The caller's side of a dispatched request. */
export class DispatchHandle extends RunningRequest {
  constructor(private readonly dispatched: DispatchedRequest) {
    super();
  }

  override consume(consumed: number): void {
    this.dispatched.consume(consumed);
  }

  override cancel(): void {
    this.dispatched.cancel();
  }

  override abandon(): void {
    this.dispatched.abandon();
  }

  /** The replica whose reader the request was last sent to, and why that did not run it. */
  get reader(): { readonly instance: InstanceId; readonly fault: Fault | undefined } | undefined {
    const { reader, readerFault } = this.dispatched;
    return reader === undefined ? undefined : { instance: reader, fault: readerFault };
  }

  /** Takes a request back that waits for a holder, with why it waited; undefined when it does not. */
  withdraw(): Fault | undefined {
    return this.dispatched.withdraw();
  }
}
