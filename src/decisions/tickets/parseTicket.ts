import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { Steps } from '../../common/tasks/index.js';
import type { RouteState } from './routeState.js';
import { getSubjectName } from './subjectState.js';
import type { Ticket } from './ticket.js';
import { SubjectKind } from './subjectKind.js';
import { MAXIMUM_ROUTES, routeSchema, ticketSchema } from './ticketSchema.js';

/** Number of routes that are validated in one step. */
const ROUTES_PER_STEP = 200;

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

/**
 * Validates an external ticket like `tryParseTicket`, a configuration's routes in several steps: it
 * may have thousands of them.
 */
export function* parseTicketInSteps(value: unknown): Steps<Result<Ticket, Fault>> {
  const routes = getConfiguredRoutes(value);
  if (routes === undefined) {
    return tryParseTicket(value);
  }
  const checked = tryParseTicket(replaceRoutes(value as Ticket, []));
  if (checked.isErr()) {
    return checked;
  }
  if (routes.length > MAXIMUM_ROUTES) {
    return err(createRouteFault('', `expected at most ${MAXIMUM_ROUTES} routes`));
  }
  const states: RouteState[] = [];
  for (let start = 0; start < routes.length; start += ROUTES_PER_STEP) {
    yield;
    const parsed = z.array(routeSchema).safeParse(routes.slice(start, start + ROUTES_PER_STEP));
    if (!parsed.success) {
      const [first] = parsed.error.issues;
      const [index = 0, ...path] = first?.path ?? [];
      const place = formatPath([start + Number(index), ...path]);
      return err(createRouteFault(place, first?.message ?? ''));
    }
    // The schema has checked the values of the branded types.
    states.push(...(parsed.data as unknown as RouteState[]));
  }
  if (new Set(states.map(({ route }) => route)).size < states.length) {
    return err(createRouteFault('', 'expected each route once'));
  }
  return ok(replaceRoutes(checked.value, states));
}

/** The routes of a ticket whose only subject is a configuration. */
function getConfiguredRoutes(value: unknown): readonly unknown[] | undefined {
  const { subjects } = (value ?? {}) as { readonly subjects?: unknown };
  const [subject] = Array.isArray(subjects) && subjects.length === 1 ? (subjects as unknown[]) : [];
  const { kind, routes } = (subject ?? {}) as Record<string, unknown>;
  return kind === SubjectKind.Configuration && Array.isArray(routes) ? routes : undefined;
}

function replaceRoutes(ticket: Ticket, routes: readonly RouteState[]): Ticket {
  const subjects = ticket.subjects.map((subject) => ({ ...subject, routes }));
  return { ...ticket, subjects };
}

function createRouteFault(place: string, expected: string): Fault {
  return createTicketFault(`subjects[0].routes${place}`, expected);
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

/** Formats a path into a ticket, such as `subjects[0].rate`. */
export function formatPath(path: readonly PropertyKey[]): string {
  let text = '';
  for (const part of path) {
    text += typeof part === 'number' ? `[${part}]` : `${text === '' ? '' : '.'}${String(part)}`;
  }
  return text === '' ? '(ticket)' : text;
}

function createTicketFault(path: string, expected: string): Fault {
  return createFault(Diagnostics.TicketInvalid, { path, expected }, { step: 'ticket.check' });
}
