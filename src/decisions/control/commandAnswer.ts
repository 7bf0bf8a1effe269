import type { TicketAnswer } from './ticketAnswer.js';

/** Result of applying a command. */
export interface CommandAnswer {
  /** Whether any record changed. */
  readonly changed: boolean;
  /** Diagnostic code when the command was refused. */
  readonly refusal?: number;
  /** The answer to a submitted ticket. */
  readonly ticket?: TicketAnswer;
}
