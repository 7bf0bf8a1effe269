import type { TicketNumber } from '../../common/ids/index.js';
import type { SubjectState } from '../tickets/index.js';
import type { RecordKind } from './recordKind.js';

/** Ticket in force on one subject, with the subject's state. */
export interface SubjectInForce {
  readonly kind: RecordKind.Subject;
  readonly ticket: TicketNumber;
  readonly state: SubjectState;
}
