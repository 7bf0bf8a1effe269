import type { TicketNumber } from '../../common/ids/index.js';

/** How a submitted ticket ended. */
export enum TicketOutcome {
  Accepted = 'accepted',
  Refused = 'refused',
}

/** The answer to a submitted ticket; the same again when it is resent. */
export interface TicketAnswer {
  readonly number: TicketNumber;
  readonly outcome: TicketOutcome;
  /** Number of a diagnostic when refused. */
  readonly code?: number;
  /** The refusal in words, naming the subject and the ticket in force on it. */
  readonly reason?: string;
}
