import type { HostId, Revision, TicketNumber } from '../../common/ids/index.js';
import type { SubjectState } from '../tickets/index.js';

/** Ticket and state in force on one subject, as read from the control quorum. */
export interface SubjectStatus {
  readonly subject: string;
  readonly ticket: TicketNumber;
  readonly state: SubjectState;
  /** Revision of the command that set the state; absent if no command did. */
  readonly revision?: Revision;
  /**
   * Whether every daemon with a valid lease has applied the state; false while leases of an earlier
   * leader may still last.
   */
  readonly everywhere: boolean;
  /** Hosts of daemons with a valid lease that have not yet applied the state. */
  readonly missing: readonly HostId[];
}
