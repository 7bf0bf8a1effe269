import type { TicketNumber } from '../../common/ids/index.js';
import type { SubjectState } from './subjectState.js';

/** A change ticket: a number and the full new state of each subject that it changes. */
export interface Ticket {
  readonly number: TicketNumber;
  readonly subjects: readonly SubjectState[];
}
