import type { HostId, TicketNumber } from '../../common/ids/index.js';
import type { SubjectState } from '../tickets/index.js';

/** What is in force on one subject, read through the control quorum. */
export interface SubjectReading {
  readonly subject: string;
  readonly ticket: TicketNumber;
  readonly state: SubjectState;
  /** Every daemon with a live lease has applied it. */
  readonly everywhere: boolean;
  /** Daemons with a live lease that have not yet applied it. */
  readonly missing: readonly HostId[];
}
