import { Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { Unsubscribe } from '../../common/timer/index.js';
import {
  RequestKind,
  ResponseReceiver,
  toFault,
  type RequestOutcome,
  type RunningRequest,
} from '../requests/index.js';
import type { DispatchedRequest } from './dispatchedRequest.js';

/** Refusals by a reader that say nothing of the holder, which is tried next. */
const READER_REFUSALS: ReadonlySet<number> = new Set([
  Diagnostics.ReaderRefused.code,
  Diagnostics.HolderMoved.code,
  Diagnostics.LeaseExpired.code,
  Diagnostics.MeshUnreachable.code,
  Diagnostics.BackendLost.code,
  Diagnostics.BackendUnreachable.code,
]);

/** What the owner of an attempt learns of it. */
export interface ReaderAttemptOwner {
  /** The attempt is over and its outcome the caller's. */
  ended(outcome: RequestOutcome): void;
  /** Nothing was run of which anything is kept: the holder is to run it. `isSuspect`: the reader may be gone. */
  fellBack(fault: Fault | undefined, isSuspect: boolean): void;
}

/** One attempt to have a request run by a reader. A read that it does not answer is left to the holder. */
export class ReaderAttempt extends ResponseReceiver {
  private running: RunningRequest | undefined;
  private isEnded = false;
  private hasReceivedBytes = false;
  private cancelTimer: Unsubscribe | undefined;

  constructor(
    private readonly dispatched: DispatchedRequest,
    private readonly owner: ReaderAttemptOwner,
  ) {
    super();
  }

  /** The request was sent; the attempt may have ended already. `cancelLimit`: ends the wait for its answer. */
  setRunning(running: RunningRequest | undefined, cancelTimer: Unsubscribe): void {
    this.running = running;
    this.cancelTimer = cancelTimer;
    if (this.isEnded) {
      cancelTimer();
    }
  }

  /** Gives up a read of which nothing came in time; what else there is waits on. */
  handleTimeout(): void {
    if (!this.isEnded && !this.hasReceivedBytes && !this.dispatched.isCancelled) {
      this.end();
      this.running?.abandon();
      this.owner.fellBack(undefined, true);
    }
  }

  override accept(bytes: Uint8Array): void {
    if (!this.isEnded) {
      this.hasReceivedBytes = true;
      this.dispatched.accept(bytes);
    }
  }

  override finish(outcome: RequestOutcome): void {
    if (this.isEnded) {
      return;
    }
    this.end();
    const { fault } = outcome;
    if (fault !== undefined && this.mayFallBack(fault)) {
      const isSuspect = fault.code !== Diagnostics.ReaderRefused.code;
      this.owner.fellBack(toFault(fault), isSuspect);
    } else {
      this.owner.ended(outcome);
    }
  }

  private end(): void {
    this.isEnded = true;
    this.cancelTimer?.();
  }

  /** What opens a transaction that only reads leaves nothing behind, nor does a read. */
  private mayFallBack({ code, execution }: NonNullable<RequestOutcome['fault']>): boolean {
    const { draft, isCancelled } = this.dispatched;
    const isOpening = draft.kind === RequestKind.Read || draft.kind === RequestKind.Begin;
    const isExcluded = this.hasReceivedBytes || isCancelled || !isOpening;
    return !isExcluded && (READER_REFUSALS.has(code) || execution !== Execution.NotRun);
  }
}
