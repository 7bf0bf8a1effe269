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

/** Codes of refusals by a reader after which the holder may still run the request. */
const FALLBACK_REFUSALS: ReadonlySet<number> = new Set([
  Diagnostics.ReaderRefused.code,
  Diagnostics.HolderMoved.code,
  Diagnostics.LeaseExpired.code,
  Diagnostics.MeshUnreachable.code,
  Diagnostics.BackendLost.code,
  Diagnostics.BackendUnreachable.code,
]);

/** Handler for the end of a reader attempt. */
export interface ReaderAttemptHandler {
  /** Called when the first bytes of the answer arrived. */
  answered(): void;
  /** Called when the attempt ended with the request's outcome. */
  ended(outcome: RequestOutcome): void;
  /**
   * Called when the attempt ended without an effect, so that the holder has to run the request.
   * `isSuspect`: the reader may be unreachable.
   */
  fellBack(fault: Fault | undefined, isSuspect: boolean): void;
}

/** An attempt to run a request on a reader. An unanswered read falls back to the holder. */
export class ReaderAttempt extends ResponseReceiver {
  private running: RunningRequest | undefined;
  private isEnded = false;
  private receivedBytes = 0;
  private cancelTimer: Unsubscribe | undefined;

  constructor(
    private readonly dispatched: DispatchedRequest,
    private readonly handler: ReaderAttemptHandler,
  ) {
    super();
  }

  /**
   * Sets the sent request; the attempt may have ended already. `cancelTimer` cancels the time-out
   * of its answer.
   */
  setRunning(running: RunningRequest | undefined, cancelTimer: Unsubscribe): void {
    this.running = running;
    this.cancelTimer = cancelTimer;
    if (this.isEnded) {
      cancelTimer();
    }
  }

  /** Abandons the attempt unless bytes of its answer arrived or the caller cancelled it. */
  handleTimeout(): void {
    if (!this.isEnded && this.receivedBytes === 0 && !this.dispatched.isCancelled) {
      this.end();
      this.running?.abandon();
      this.handler.fellBack(undefined, true);
    }
  }

  /** Number of bytes of the answer that were received. */
  get answerLength(): number {
    return this.receivedBytes;
  }

  override accept(bytes: Uint8Array): void {
    if (!this.isEnded) {
      if (this.receivedBytes === 0) {
        this.handler.answered();
      }
      this.receivedBytes += bytes.length;
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
      this.handler.fellBack(toFault(fault), isSuspect);
    } else {
      this.handler.ended(outcome);
    }
  }

  private end(): void {
    this.isEnded = true;
    this.cancelTimer?.();
  }

  /**
   * Whether the holder may run the request after this attempt: a read, or the start of a read-only
   * transaction, leaves no effect at the reader.
   */
  private mayFallBack({ code, execution }: NonNullable<RequestOutcome['fault']>): boolean {
    const { draft, isCancelled } = this.dispatched;
    const isOpening = draft.kind === RequestKind.Read || draft.kind === RequestKind.Begin;
    const isFallbackExcluded = this.receivedBytes > 0 || isCancelled || !isOpening;
    return !isFallbackExcluded && (FALLBACK_REFUSALS.has(code) || execution !== Execution.NotRun);
  }
}
