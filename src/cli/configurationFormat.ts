import type { Result } from 'neverthrow';
import type { Diagnostic, Fault } from '../common/diagnostics/index.js';
import type { Ticket } from '../decisions/tickets/index.js';

/** A format of complete configurations other than that of tickets. */
export abstract class ConfigurationFormat {
  /** Diagnostics of values that a file of this format does not contain. */
  abstract readonly omitted: ReadonlySet<Diagnostic>;

  /** Whether a parsed document is of this format. */
  abstract matches(document: object): boolean;

  /** Reads the ticket that a document stands for; the fault states what is invalid. */
  abstract tryRead(text: string): Result<Ticket, Fault>;
}
