import type { AccountId, RequestId } from '../../common/ids/index.js';

/** A request that needs tokens of its client account before it may run. */
export interface AdmissionRequest {
  readonly requestId: RequestId;
  readonly account: AccountId;
  /** Cost in tokens, an integer; 1 for an ordinary request. */
  readonly cost: number;
  /** Time by which the request must have ended, on this daemon's clock. */
  readonly deadlineMs: number;
  /** Urgency, 0 first; requests without one come after all others. */
  readonly priority?: number;
  /**
   * Longest acceptable wait for tokens while the holder is known; a request that would wait longer
   * is refused immediately.
   */
  readonly maximumWaitMs?: number;
}
