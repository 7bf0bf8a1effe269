import type { GroupId, InstanceId, LogPosition, Term } from '../../common/ids/index.js';

/** What a holder has seen of one instance over its own connections. */
export interface InstanceSighting {
  readonly instance: InstanceId;
  readonly reachable: boolean;
  /** Whether it said that it is primary; absent when it did not tell. */
  readonly isPrimary?: boolean;
  readonly term: Term;
  readonly position: LogPosition;
}

/** What a group's holder tells the control leader with its lease renewals. */
export interface GroupReport {
  readonly group: GroupId;
  /** Highest term under which this holder will never again acknowledge a write: 0 for none. */
  readonly fencedTerm: Term;
  /**
   * Highest position acknowledged to callers under the current term, and at least the primary's
   * position when this holder took the group up; 0 until it is known. A replica that a ticket
   * says is leaving does not count for acknowledgement.
   */
  readonly acknowledged: LogPosition;
  /**
   * A position that this holder certainly acknowledged under the current term, and at most the
   * last one; 0 when it acknowledged none or can't tell its position.
   */
  readonly confirmed: LogPosition;
  /** Once a term is fenced, only what was measured after fencing it. */
  readonly sightings: readonly InstanceSighting[];
}
