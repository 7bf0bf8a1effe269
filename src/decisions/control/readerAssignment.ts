import type { GroupId, InstanceId, Revision } from '../../common/ids/index.js';
import type { Holder } from './holder.js';
import type { RecordKind } from './recordKind.js';

/**
 * Which host runs reads at a replica with connections and slots of its own; no holder when the
 * group's holder does. Two readers at once harm nothing: the instance checks what a read needs.
 */
export interface ReaderAssignment {
  readonly kind: RecordKind.InstanceReader;
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly holder?: Holder;
  /** Revision at which the reader was assigned or taken away. */
  readonly since: Revision;
}
