import type { GroupId } from '../../common/ids/index.js';
import type { Holder } from './holder.js';
import type { RecordKind } from './recordKind.js';

/** Who may open connections to a group's instances; no holder while it moves. */
export interface GroupAssignment {
  readonly kind: RecordKind.GroupHolder;
  readonly group: GroupId;
  readonly holder?: Holder;
  /** The holder is asked to drain and release, so that the group moves without waiting for a lease. */
  readonly draining: boolean;
}
