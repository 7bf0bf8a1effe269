import type { Revision } from '../../common/ids/index.js';
import type { AccountAssignment } from './accountAssignment.js';
import type { GroupAssignment } from './groupAssignment.js';
import type { GroupPrimary } from './groupPrimary.js';
import type { InstanceRecord } from './instanceRecord.js';
import type { ReaderAssignment } from './readerAssignment.js';
import type { SubjectInForce } from './subjectInForce.js';

/** Content of one replicated record. */
export type ControlRecordValue =
  | SubjectInForce
  | InstanceRecord
  | GroupAssignment
  | AccountAssignment
  | ReaderAssignment
  | GroupPrimary;

/**
 * Replicated record. Daemons keep copies of the records; the changes since revision R are all
 * records whose revision is above R. Records are overwritten, never removed.
 */
export interface ControlRecord {
  /**
   * `subject/...`, `instance/GROUP/INSTANCE`, `group-holder/GROUP`, `account-holder/ACCOUNT`,
   * `instance-reader/GROUP/INSTANCE` or `primary/GROUP`.
   */
  readonly name: string;
  readonly revision: Revision;
  readonly value: ControlRecordValue;
}
