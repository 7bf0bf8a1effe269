import type { Revision } from '../../common/ids/index.js';
import type { TicketAnswer } from './ticketAnswer.js';

/** Result of applying a command. */
export interface CommandAnswer {
  /** Whether any record changed. */
  readonly changed: boolean;
  /** Index in the control log, given for the orders of operators. */
  readonly revision?: Revision;
  /** Diagnostic code when the command was refused. */
  readonly refusal?: number;
  /** The answer to a submitted ticket. */
  readonly ticket?: TicketAnswer;
}
