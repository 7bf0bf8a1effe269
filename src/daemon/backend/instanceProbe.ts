import type { LogPosition, Term } from '../../common/ids/index.js';

/** The state that an instance reports in answer to a probe. */
export interface ProbeAnswer {
  /** Whether the instance is primary; undefined when the answer does not contain it. */
  readonly isPrimary: boolean | undefined;
  /** Term of the history that the instance follows. */
  readonly term: Term;
  /** Log position up to which all changes are visible to reads. */
  readonly position: LogPosition;
  /** Log position up to which the instance's log is complete; undefined when not in the answer. */
  readonly received: LogPosition | undefined;
}
