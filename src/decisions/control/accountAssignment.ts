import type { AccountId, Revision } from '../../common/ids/index.js';
import type { Holder } from './holder.js';
import type { RecordKind } from './recordKind.js';

/** Who may hand out a client account's rate; no holder while it moves. */
export interface AccountAssignment {
  readonly kind: RecordKind.AccountHolder;
  readonly account: AccountId;
  readonly holder?: Holder;
  /** Revision at which the holder was assigned; the release's when there is none. */
  readonly since: Revision;
  readonly draining: boolean;
  /** Tokens that the holder before handed over with its release, for this holder alone. */
  readonly tokens?: number;
}
