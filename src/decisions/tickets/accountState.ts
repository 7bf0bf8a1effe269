import type { AccountId } from '../../common/ids/index.js';
import type { KeyHash } from './keyHash.js';
import type { SubjectKind } from './subjectKind.js';

/** Full state of a client account. */
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
  /** Valid keys; a key that is absent is revoked. */
  readonly keys: readonly KeyHash[];
  /** Maximum number of transactions that the account may have open on one database group. */
  readonly maximumOpenTransactions: number;
}
