import type { Diagnostic } from '../common/diagnostics/index.js';
import { Diagnostics } from '../common/diagnostics/index.js';
import { MAXIMUM_BODY_BYTES } from '../daemon/operators/bodyLimit.js';
import { createFinding, validateTicket, type Finding } from '../decisions/configuration/index.js';
import type { Ticket } from '../decisions/tickets/index.js';
import type { CommandOutcome } from './commandOutcome.js';
import type { ConfigurationFormat } from './configurationFormat.js';
import type { Terminal } from './terminal.js';
import { readFileText, tryParseTicketText, type TicketDocument } from './ticketFile.js';

/** Number of a ticket whose file has none; it is not checked. */
const UNCHOSEN_NUMBER = 1;
const SUBJECT = 'configuration';

/** A configuration as read from a file. */
export interface ConfigurationFile {
  /** Undefined if the file is not valid. */
  readonly ticket: Ticket | undefined;
  /** Whether the file contains the ticket's number. */
  readonly isNumbered: boolean;
  /** What the hosts refuse without regard to what is in force. */
  readonly findings: readonly Finding[];
  /** Diagnostics that do not apply to the file's format. */
  readonly omitted: ReadonlySet<Diagnostic>;
}

/** Reads a ticket, or a configuration of one of the formats, from a file or standard input. */
export function readConfigurationFile(
  file: string,
  terminal: Terminal,
  formats: readonly ConfigurationFormat[],
): CommandOutcome<ConfigurationFile> {
  return readFileText(file, terminal).andThen((text) =>
    tryParseTicketText(file, text).map((document) => {
      const format = formats.find((each) => each.matches(document));
      return format === undefined ? readTicket(document) : readFormat(text, format);
    }),
  );
}

function readTicket(document: TicketDocument): ConfigurationFile {
  const isNumbered = document.number !== undefined;
  const value = isNumbered ? document : { ...document, number: UNCHOSEN_NUMBER };
  const omitted = new Set<Diagnostic>();
  return validateTicket(value).match<ConfigurationFile>(
    (ticket) => ({ ticket, isNumbered, findings: checkSize(ticket), omitted }),
    (findings) => ({ ticket: undefined, isNumbered, findings, omitted }),
  );
}

/** Checks that the operators' HTTP interface takes the ticket. */
function checkSize(ticket: Ticket): readonly Finding[] {
  const limit = MAXIMUM_BODY_BYTES;
  return Buffer.byteLength(JSON.stringify(ticket)) > limit
    ? [createFinding(Diagnostics.BodyTooLarge, 'ticket', { limit })]
    : [];
}

function readFormat(text: string, format: ConfigurationFormat): ConfigurationFile {
  const { omitted } = format;
  return format.tryRead(text).match(
    (ticket) => ({ ticket, isNumbered: true, findings: [], omitted }),
    ({ diagnostic, values }) => ({
      ticket: undefined,
      isNumbered: true,
      findings: [createFinding(diagnostic, SUBJECT, values)],
      omitted,
    }),
  );
}
