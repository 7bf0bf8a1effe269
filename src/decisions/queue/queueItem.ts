import type { AccountId, RequestId } from '../../common/ids/index.js';

/** A request that needs a slot of an instance. */
export interface QueueItem {
  readonly requestId: RequestId;
  readonly account: AccountId;
  /** The account's share relative to other accounts, such as its rate; positive. */
  readonly weight: number;
  /** Time by which the request must have ended, on this daemon's clock. */
  readonly deadlineMs: number;
  /** Class of statements with a similar service time, such as a statement's fingerprint. */
  readonly costClass: string;
  /** Whether the request opens a transaction, which stays open until `complete`. */
  readonly isTransaction: boolean;
  /** Urgency, 0 first; requests without one come after all others. */
  readonly priority?: number;
  /** Maximum number of open transactions of the account on the instance; unbounded if absent. */
  readonly maximumOpenTransactions?: number;
}
