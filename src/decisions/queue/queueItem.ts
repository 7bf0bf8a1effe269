import type { AccountId, RequestId } from '../../common/ids/index.js';

/** A request that needs a slot of an instance. */
export interface QueueItem {
  readonly requestId: RequestId;
  readonly account: AccountId;
  /** The account's share relative to other accounts, such as its rate; positive. */
  readonly weight: number;
  /** When the request must have ended, by this daemon's clock. */
  readonly deadlineMs: number;
  /** Names statements of similar service time, such as a statement's fingerprint. */
  readonly costClass: string;
  /** The request opens a transaction, which stays open until `complete`. */
  readonly isTransaction: boolean;
  /** Transactions that the account may have open here; needed for a transaction. */
  readonly maximumOpenTransactions?: number;
}
