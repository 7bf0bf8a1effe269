import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { InstanceId, LeaseId } from '../../common/ids/index.js';
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

/** Codes of refusals after which another holder, or the same one later, may run the request. */
const RETRYABLE_REFUSALS: ReadonlySet<number> = new Set([
  Diagnostics.HolderMoved.code,
  Diagnostics.LeaseExpired.code,
  Diagnostics.NoHolder.code,
  Diagnostics.MeshUnreachable.code,
  Diagnostics.BackendLost.code,
  Diagnostics.BackendUnreachable.code,
]);

/** Queue of requests that wait for a holder. */
export interface DispatchQueue {
  now(): number;
  /** Returns the wait in milliseconds before a request is sent again; `firstMs` without backoff. */
  getRetryDelayMs(dispatched: DispatchedRequest, firstMs: number): number;
  /** Queues the request, to be sent again later. */
  waitForHolder(dispatched: DispatchedRequest): void;
  /** Removes a request from the queue; returns false if it was not queued. */
  stopWaiting(dispatched: DispatchedRequest): boolean;
  /** Creates the fault that says why a queued request could not be sent. */
  createWaitFault(dispatched: DispatchedRequest): Fault;
}

/** A caller's request with all its attempts. */
export class DispatchedRequest extends ResponseReceiver {
  isEnded = false;
  retryAtMs = 0;
  /** Number of attempts that did not run the request. */
  failedAttempts = 0;
  /** Lease of the holder or reader that the request was last sent to. */
  lastLease: LeaseId | undefined;
  /** Last refusal, reported if no attempt succeeds before the deadline. */
  lastFault: Fault | undefined;
  /** Replica whose reader the request was last sent to. */
  reader: InstanceId | undefined;
  /** Fault of the reader attempt that fell back to the holder; undefined if it timed out. */
  readerFault: Fault | undefined;
  /** Whether a reader was tried; further attempts go to the holder. */
  hasTriedReader = false;
  private running: RunningRequest | undefined;
  /** Fault of the first attempt that may have been run; not set for reads. */
  private uncertainFault: RequestOutcome['fault'];
  /** Whether bytes of an answer arrived, after which the request is not retried. */
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

  /** Sets the running attempt, which may have ended already. */
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
      this.failedAttempts += 1;
      this.retryAtMs = this.queue.now() + this.queue.getRetryDelayMs(this, RETRY_DELAY_MS);
      this.queue.waitForHolder(this);
      return;
    }
    this.isEnded = true;
    this.receiver.finish(this.applyUncertainFault(outcome));
  }

  /** Whether the caller cancelled or abandoned the request, or lost its rights. */
  get isCancelled(): boolean {
    return this.wasCancelled;
  }

  /** Queues the request for the holder after an attempt at a reader that left no effect. */
  handleReaderFailure(fault: Fault | undefined): void {
    this.hasTriedReader = true;
    this.failedAttempts += 1;
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

  revoke(): void {
    this.wasCancelled = true;
    if (!this.refuseWaiting()) {
      this.running?.revoke();
    }
  }

  abandon(): void {
    this.wasCancelled = true;
    if (!this.refuseWaiting()) {
      this.running?.abandon();
    }
  }

  /**
   * Ends a queued request without reporting an outcome; returns a fault that states why it was
   * queued, or undefined if it was not.
   */
  withdraw(): Fault | undefined {
    if (!this.queue.stopWaiting(this)) {
      return undefined;
    }
    this.isEnded = true;
    return this.queue.createWaitFault(this);
  }

  /** Ends a cancelled request that waits for a holder; returns false if it does not wait. */
  private refuseWaiting(): boolean {
    if (!this.queue.stopWaiting(this)) {
      return false;
    }
    const fault = createFault(Diagnostics.RequestCancelled, {}, { step: 'entry.dispatch' });
    this.finish(createRefusedOutcome(fault));
    return true;
  }

  /** Reports an earlier attempt that may have been run, if a later one was refused as not run. */
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
    const isRetryable = RETRYABLE_REFUSALS.has(fault.code) || fault.execution !== Execution.NotRun;
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

/** Handle of a dispatched request for its caller. */
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

  override revoke(): void {
    this.dispatched.revoke();
  }

  override abandon(): void {
    this.dispatched.abandon();
  }

  /** Replica whose reader the request was last sent to, with the fault if it did not run it. */
  get reader(): { readonly instance: InstanceId; readonly fault: Fault | undefined } | undefined {
    const { reader, readerFault } = this.dispatched;
    return reader === undefined ? undefined : { instance: reader, fault: readerFault };
  }

  /**
   * Withdraws a request that is queued for a holder; returns a fault that states why it was queued,
   * or undefined if it was not.
   */
  withdraw(): Fault | undefined {
    return this.dispatched.withdraw();
  }
}
