import type { GroupId, Revision } from '../../common/ids/index.js';
import type { Holder } from './holder.js';
import type { RecordKind } from './recordKind.js';

/**
 * Assignment of a group to the daemon that may open connections to its instances; no holder during
 * a move.
 */
export interface GroupAssignment {
  readonly kind: RecordKind.GroupHolder;
  readonly group: GroupId;
  readonly holder?: Holder;
  /** Revision at which the holder was assigned, or at which it was released when there is none. */
  readonly since: Revision;
  /**
   * Whether the holder is requested to drain and release, so that the group moves without waiting
   * for its lease to expire.
   */
  readonly draining: boolean;
}
