import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { Diagnostics } from '../common/diagnostics/index.js';
import type { FleetStatus, SubjectStatus, TicketAnswer } from '../decisions/control/index.js';
import type { Ticket } from '../decisions/tickets/index.js';
import { createFailure, type CommandFailure } from './commandFailure.js';
import { ExitStatus } from './exitStatus.js';

const readingSchema = z.looseObject({
  subject: z.string(),
  ticket: z.int().min(0),
  state: z.looseObject({ kind: z.string() }),
  everywhere: z.boolean(),
  missing: z.array(z.string()),
});
const readingsSchema = z.looseObject({ subjects: z.array(readingSchema) });
const ticketSchema = z.looseObject({
  number: z.int(),
  subjects: z.array(z.looseObject({ kind: z.string() })),
});
const ticketAnswerSchema = z.looseObject({ number: z.int(), outcome: z.string() });

const fleetStatusSchema = z.looseObject({
  leader: z.string(),
  controlTerm: z.int(),
  revision: z.int(),
  daemons: z.array(z.looseObject({ host: z.string(), revision: z.int() })),
  groups: z.array(
    z.looseObject({
      group: z.string(),
      instances: z.array(z.looseObject({ instance: z.string(), term: z.int() })),
    }),
  ),
  accounts: z.array(z.looseObject({ account: z.string() })),
});

/** Checks the answer to a read of the fleet's state. */
export function tryParseFleetStatus(answer: unknown): Result<FleetStatus, CommandFailure> {
  return check<FleetStatus>(fleetStatusSchema, answer);
}

/** Checks the answer to a read of one subject. */
export function tryParseReading(answer: unknown): Result<SubjectStatus, CommandFailure> {
  return check<SubjectStatus>(readingSchema, answer);
}

/** Checks the answer to a read of all subjects. */
export function tryParseReadings(
  answer: unknown,
): Result<readonly SubjectStatus[], CommandFailure> {
  return check<{ readonly subjects: readonly SubjectStatus[] }>(readingsSchema, answer).map(
    (readings) => readings.subjects,
  );
}

/** Checks the answer to a read of a ticket. */
export function tryParseShownTicket(answer: unknown): Result<Ticket, CommandFailure> {
  return check<Ticket>(ticketSchema, answer);
}

/** Checks the answer to an accepted ticket. */
export function tryParseTicketAnswer(answer: unknown): Result<TicketAnswer, CommandFailure> {
  return check<TicketAnswer>(ticketAnswerSchema, answer);
}

/** Checks the parts that this program reads; the daemon answers for the rest. */
function check<Value>(schema: z.ZodType, answer: unknown): Result<Value, CommandFailure> {
  const checked = schema.safeParse(answer);
  if (checked.success) {
    return ok(answer as Value);
  }
  const problem = z.prettifyError(checked.error).replaceAll('\n', ' ');
  const values = { problem };
  return err(createFailure(ExitStatus.Unreachable, Diagnostics.AnswerMalformed, values, 'answer'));
}
