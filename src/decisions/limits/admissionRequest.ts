import type { AccountId, RequestId } from '../../common/ids/index.js';

/** A request that needs tokens of its client account before it may run. */
export interface AdmissionRequest {
  readonly requestId: RequestId;
  readonly account: AccountId;
  /** Whole tokens; 1 for an ordinary request. */
  readonly cost: number;
  /** When the request must have ended, by this daemon's clock. */
  readonly deadlineMs: number;
  /** Longest wait for tokens of a known holder that is still worth it; a longer one is refused at once. */
  readonly maximumWaitMs?: number;
}
