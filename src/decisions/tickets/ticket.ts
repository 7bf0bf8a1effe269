import type { TicketNumber } from '../../common/ids/index.js';
import type { SubjectState } from './subjectState.js';

/** A change ticket: a number and the whole new state of each subject it touches. */
export interface Ticket {
  readonly number: TicketNumber;
  readonly subjects: readonly SubjectState[];
}
