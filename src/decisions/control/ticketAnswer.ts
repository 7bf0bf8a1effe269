import type { TicketNumber } from '../../common/ids/index.js';

/** Outcome of submitting a ticket. */
export enum TicketOutcome {
  Accepted = 'accepted',
  Refused = 'refused',
}

/** Answer to a submitted ticket; resending an accepted ticket returns the same answer. */
export interface TicketAnswer {
  readonly number: TicketNumber;
  readonly outcome: TicketOutcome;
  /** Diagnostic code when refused. */
  readonly code?: number;
  /** Message of the refusal, which names the subject and the ticket in force on it. */
  readonly reason?: string;
}
