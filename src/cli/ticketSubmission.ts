import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Diagnostics } from '../common/diagnostics/index.js';
import { toTicketNumber, type TicketNumber } from '../common/ids/index.js';
import type { SubjectStatus, TicketAnswer } from '../decisions/control/index.js';
import type { SubjectState, Ticket } from '../decisions/tickets/index.js';
import { tryParseTicketAnswer } from './answers.js';
import { createFailure, type CommandFailure } from './commandFailure.js';
import type { CommandOutcome } from './commandOutcome.js';
import { readAllInForce } from './controlReader.js';
import { ExitStatus } from './exitStatus.js';
import type { OperatorClient } from './operatorClient.js';

const MAXIMUM_ATTEMPTS = 5;
const LOST_RACE_CODES: ReadonlySet<number> = new Set([
  Diagnostics.TicketOutdated.code,
  Diagnostics.TicketNumberTaken.code,
]);

/** Builds the whole new state of a subject from what is in force. */
export type TicketBuild = (
  readings: readonly SubjectStatus[],
) => Result<SubjectState, CommandFailure>;

/** Submits a ticket once; a lost answer is asked for by sending it again. */
export function submitTicket(
  client: OperatorClient,
  ticket: unknown,
): CommandOutcome<TicketAnswer> {
  return client.post('/tickets', ticket).andThen(tryParseTicketAnswer);
}

/**
 * The number after the highest in force. Numbers are unique over all subjects and a number in
 * force is only replaced by a higher one, so no accepted ticket has it.
 */
export function getNextNumber(readings: readonly SubjectStatus[]): TicketNumber {
  const highest = readings.reduce((number, reading) => Math.max(number, reading.ticket), 0);
  return toTicketNumber(highest + 1);
}

/**
 * Builds a ticket on what is in force and submits it. When another operator's ticket came first
 * and no number was asked for, reads again and builds anew, a bounded number of times.
 */
export function submitChange(
  client: OperatorClient,
  build: TicketBuild,
  number: number | undefined,
): CommandOutcome<Ticket> {
  return new ResultAsync(submitInAttempts(client, build, number));
}

async function submitInAttempts(
  client: OperatorClient,
  build: TicketBuild,
  number: number | undefined,
): Promise<Result<Ticket, CommandFailure>> {
  for (let attempt = 1; ; attempt += 1) {
    const ticket = await readAllInForce(client).andThen((readings) =>
      buildTicket(readings, build, number),
    );
    if (ticket.isErr()) {
      return err(ticket.error);
    }
    const answer = await submitTicket(client, ticket.value);
    if (answer.isOk()) {
      return ok(ticket.value);
    }
    if (number !== undefined || !LOST_RACE_CODES.has(answer.error.body.code)) {
      return err(nameTicket(answer.error, ticket.value.number));
    }
    if (attempt >= MAXIMUM_ATTEMPTS) {
      return err(createRaceFailure(ticket.value.number, answer.error));
    }
  }
}

function buildTicket(
  readings: readonly SubjectStatus[],
  build: TicketBuild,
  number: number | undefined,
): Result<Ticket, CommandFailure> {
  const chosen = number === undefined ? getNextNumber(readings) : toTicketNumber(number);
  return build(readings).map((state) => ({ number: chosen, subjects: [state] }));
}

/** Says which number was tried, so that the operator can ask for it or send it again. */
function nameTicket(failure: CommandFailure, number: TicketNumber): CommandFailure {
  const message = `Ticket ${number}: ${failure.body.message}`;
  return { ...failure, body: { ...failure.body, message } };
}

function createRaceFailure(number: TicketNumber, last: CommandFailure): CommandFailure {
  const values = { number, attempts: MAXIMUM_ATTEMPTS, problem: last.body.message };
  return createFailure(ExitStatus.Refused, Diagnostics.RaceLost, values, 'ticket.submit');
}
