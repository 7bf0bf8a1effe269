import type { GroupId, InstanceId, LogPosition, Revision, Term } from '../../common/ids/index.js';

/** State of one instance as observed by the group's holder over its own connections. */
export interface InstanceObservation {
  readonly instance: InstanceId;
  readonly reachable: boolean;
  /** Whether the instance reported that it is primary; absent when it reported no role. */
  readonly isPrimary?: boolean;
  readonly term: Term;
  readonly position: LogPosition;
}

/** Report of a group's holder to the control leader, sent with its lease renewals. */
export interface GroupReport {
  readonly group: GroupId;
  /** Highest term under which this holder will never acknowledge a write again; 0 for none. */
  readonly fencedTerm: Term;
  /**
   * Highest position acknowledged to callers under the current term, and at least the primary's
   * position when this holder started serving the group; 0 until it is known. A replica that a
   * ticket marks as leaving does not count for acknowledgement.
   */
  readonly acknowledged: LogPosition;
  /**
   * Position that this holder has certainly acknowledged under the current term, at most the last
   * acknowledged one; 0 when it acknowledged none or can't determine the position.
   */
  readonly confirmed: LogPosition;
  /**
   * Revision up to which the logs of instances that left or restarted are covered: all that they had
   * received was observed on an instance that is not leaving. Absent while none has to be covered.
   */
  readonly coveredRevision?: Revision;
  /**
   * Observations of the group's instances; once a term is fenced, only those made after the fence.
   */
  readonly sightings: readonly InstanceObservation[];
}
