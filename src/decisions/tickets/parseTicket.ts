import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { getSubjectName } from './subjectState.js';
import type { Ticket } from './ticket.js';
import { ticketSchema } from './ticketSchema.js';

/** Validates an external ticket; the fault names the path and what was expected there. */
export function tryParseTicket(value: unknown): Result<Ticket, Fault> {
  const checked = ticketSchema.safeParse(value);
  if (!checked.success) {
    const issue = checked.error.issues[0];
    const path = issue === undefined ? [] : issue.path;
    return err(createTicketFault(formatPath(path), issue?.message ?? ''));
  }
  // The schema has checked the values of the branded types.
  const ticket = checked.data as unknown as Ticket;
  return checkSubjects(ticket);
}

function checkSubjects(ticket: Ticket): Result<Ticket, Fault> {
  const names = new Set<string>();
  for (const [index, state] of ticket.subjects.entries()) {
    const name = getSubjectName(state);
    if (names.has(name)) {
      return err(createTicketFault(`subjects[${index}]`, `expected each subject once: ${name}`));
    }
    names.add(name);
  }
  return ok(ticket);
}

function formatPath(path: readonly PropertyKey[]): string {
  let text = '';
  for (const part of path) {
    text += typeof part === 'number' ? `[${part}]` : `${text === '' ? '' : '.'}${String(part)}`;
  }
  return text === '' ? '(ticket)' : text;
}

function createTicketFault(path: string, expected: string): Fault {
  return createFault(Diagnostics.TicketInvalid, { path, expected }, { step: 'ticket.check' });
}
