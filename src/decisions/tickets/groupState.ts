import type { GroupId } from '../../common/ids/index.js';
import type { Acknowledgement } from './acknowledgement.js';
import type { SubjectKind } from './subjectKind.js';

/** Full state of a database group as set by operators. */
export interface GroupState {
  readonly kind: SubjectKind.Group;
  readonly group: GroupId;
  readonly acknowledgement: Acknowledgement;
  /** Longest time a transaction may stay open, in milliseconds. */
  readonly transactionLimitMs: number;
  /**
   * Maximum number of connections of all daemons to each instance; the limit that the instance
   * announces applies if it is lower or if this is absent.
   */
  readonly connectionLimit?: number;
  /** Requests a second that a cold instance is to get; 0 or absent for no limit. */
  readonly warmupPerSecond?: number;
  /** Longest time after its start for which an instance is cold, in milliseconds. */
  readonly warmupMs?: number;
}
