import { okAsync } from 'neverthrow';
import type { Argv } from 'yargs';
import type { SubjectStatus } from '../../decisions/control/index.js';
import { tryParseShownTicket } from '../answers.js';
import { tryParseTicket } from '../../decisions/tickets/index.js';
import { createFaultFailure } from '../commandFailure.js';
import type { CommandOutcome } from '../commandOutcome.js';
import type { CommandReport } from '../commandReport.js';
import type { CommandRunner } from '../commandRunner.js';
import type { CommandSession } from '../commandSession.js';
import { readAllInForce, readInForce } from '../controlReader.js';
import { ExitStatus } from '../exitStatus.js';
import type { GlobalOptions } from '../globalOptions.js';
import { addNumberOption } from '../numberOption.js';
import { formatTable } from '../table.js';
import { readTicketFile } from '../ticketFile.js';
import { getNextNumber, submitTicket } from '../ticketSubmission.js';

/** Adds `ticket submit`, `ticket show` and `ticket in-force`. */
export function addTicketCommands(
  program: Argv<GlobalOptions>,
  runner: CommandRunner,
): Argv<GlobalOptions> {
  return program.command(
    'ticket',
    'Submit change tickets and read back what is in force.',
    (group) =>
      group
        .command(
          'submit <file>',
          'Submit a ticket from a JSON or TOML file, or from standard input with -.',
          (command) =>
            addNumberOption(command.positional('file', { type: 'string', demandOption: true })),
          (args) =>
            runner.runRemote(args, (session) => submitTicketFile(session, args.file, args.number)),
        )
        .command(
          'show <number>',
          'Show an accepted ticket.',
          (command) => command.positional('number', { type: 'string', demandOption: true }),
          (args) => runner.runRemote(args, (session) => showTicket(session, args.number)),
        )
        .command(
          'in-force [subject]',
          'Show which ticket is in force, on one subject or on all.',
          (command) => command.positional('subject', { type: 'string' }),
          (args) => runner.runRemote(args, (session) => showInForce(session, args.subject)),
        )
        .example('$0 ticket submit mill-7.toml', 'submit the ticket of a file')
        .example('$0 ticket in-force account/mill-7', 'which ticket is in force on an account')
        .demandCommand(1, 'Give one of: submit, show, in-force.'),
  );
}

function submitTicketFile(
  session: CommandSession,
  file: string,
  number: number | undefined,
): CommandOutcome<CommandReport> {
  const { client, terminal } = session;
  return readTicketFile(file, terminal)
    .andThen((document) => {
      const chosen = number ?? document.number;
      return chosen === undefined
        ? readAllInForce(client).map((all) => ({ ...document, number: getNextNumber(all) }))
        : okAsync({ ...document, number: chosen });
    })
    .andThen((ticket) =>
      tryParseTicket(ticket).mapErr((fault) => createFaultFailure(ExitStatus.BadInput, fault)),
    )
    .andThen((ticket) => submitTicket(client, ticket))
    .map((answer) => ({ json: answer, text: `Ticket ${answer.number} is accepted.\n` }));
}

function showTicket(session: CommandSession, number: string): CommandOutcome<CommandReport> {
  return session.client
    .get(`/tickets/${encodeURIComponent(number)}`)
    .andThen(tryParseShownTicket)
    .map((ticket) => ({ json: ticket, text: `${JSON.stringify(ticket, undefined, 2)}\n` }));
}

function showInForce(
  session: CommandSession,
  subject: string | undefined,
): CommandOutcome<CommandReport> {
  if (subject === undefined) {
    return readAllInForce(session.client).map((readings) => ({
      json: { subjects: readings },
      text: formatReadings(readings),
    }));
  }
  return readInForce(session.client, subject).map((reading) => ({
    json: reading,
    text: `${formatReadings([reading])}\n${JSON.stringify(reading.state, undefined, 2)}\n`,
  }));
}

function formatReadings(readings: readonly SubjectStatus[]): string {
  return formatTable(
    ['SUBJECT', 'TICKET', 'EVERYWHERE', 'MISSING ON'],
    readings.map((reading) => [
      reading.subject,
      reading.ticket,
      reading.everywhere ? 'yes' : 'no',
      reading.missing.length === 0 ? undefined : reading.missing.join(','),
    ]),
  );
}
