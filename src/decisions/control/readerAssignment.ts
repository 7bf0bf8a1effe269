import type { GroupId, InstanceId, Revision } from '../../common/ids/index.js';
import type { Holder } from './holder.js';
import type { RecordKind } from './recordKind.js';

/**
 * Assignment of a replica's reads to a host that runs them with its own connections and slots; no
 * holder when the group's holder runs them. Two readers at once are harmless: the instance checks
 * the position that a read requires.
 */
export interface ReaderAssignment {
  readonly kind: RecordKind.InstanceReader;
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly holder?: Holder;
  /** Revision at which the reader was assigned or removed. */
  readonly since: Revision;
}
