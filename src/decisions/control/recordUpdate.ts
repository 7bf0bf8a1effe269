import type { Revision } from '../../common/ids/index.js';
import type { ControlRecord } from './controlRecord.js';

/**
 * Records pushed to a daemon when they are committed; applied only if its copy has reached `since`.
 */
export interface RecordUpdate {
  readonly since: Revision;
  readonly revision: Revision;
  readonly records: readonly ControlRecord[];
}
