import type { Revision } from '../../common/ids/index.js';
import type { ControlRecord } from './controlRecord.js';

/** Records pushed to a daemon as they are committed; applied only when `since` has been reached. */
export interface RecordUpdate {
  readonly since: Revision;
  readonly revision: Revision;
  readonly records: readonly ControlRecord[];
}
