import type { GroupId, Revision } from '../../common/ids/index.js';
import type { Holder } from './holder.js';
import type { RecordKind } from './recordKind.js';

/** Who may open connections to a group's instances; no holder while it moves. */
export interface GroupAssignment {
  readonly kind: RecordKind.GroupHolder;
  readonly group: GroupId;
  readonly holder?: Holder;
  /** Revision at which the holder was assigned; the release's when there is none. */
  readonly since: Revision;
  /** The holder is asked to drain and release, so that the group moves without waiting for a lease. */
  readonly draining: boolean;
}
