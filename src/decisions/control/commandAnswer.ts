import type { TicketAnswer } from './ticketAnswer.js';

/** What applying a command came to. */
export interface CommandAnswer {
  /** Whether any record changed. */
  readonly changed: boolean;
  /** Number of a diagnostic when the command was refused. */
  readonly refusal?: number;
  /** The answer to a submitted ticket. */
  readonly ticket?: TicketAnswer;
}
