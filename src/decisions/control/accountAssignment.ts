import type { AccountId, Revision } from '../../common/ids/index.js';
import type { Holder } from './holder.js';
import type { RecordKind } from './recordKind.js';

/**
 * Assignment of a client account's rate to the daemon that may grant it; no holder during a move.
 */
export interface AccountAssignment {
  readonly kind: RecordKind.AccountHolder;
  readonly account: AccountId;
  readonly holder?: Holder;
  /** Revision at which the holder was assigned, or at which it was released when there is none. */
  readonly since: Revision;
  readonly draining: boolean;
  /** Tokens returned by the previous holder on release, usable by the next holder only. */
  readonly tokens?: number;
}
