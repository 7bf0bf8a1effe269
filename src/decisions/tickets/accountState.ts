import type { AccountId } from '../../common/ids/index.js';
import type { KeyHash } from './keyHash.js';
import type { SubjectKind } from './subjectKind.js';

/** The whole state of a client account. */
export interface AccountState {
  readonly kind: SubjectKind.Account;
  readonly account: AccountId;
  /** Requests per second over the whole fleet. */
  readonly rate: number;
  /** Requests that may be admitted at once above the rate. */
  readonly burst: number;
  /** SCRAM salt (base64) and iteration count shared by the account's keys. */
  readonly salt: string;
  readonly iterations: number;
  /** Keys that work now; a key that is absent is withdrawn. */
  readonly keys: readonly KeyHash[];
  /** Transactions the account may hold open at once on one database group. */
  readonly maximumOpenTransactions: number;
}
