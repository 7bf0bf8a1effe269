import { Diagnostics } from '../../common/diagnostics/index.js';
import type { TicketNumber } from '../../common/ids/index.js';
import { TicketRegistry } from '../control/ticketRegistry.js';
import { getSubjectName, SubjectKind, type SubjectState, type Ticket } from '../tickets/index.js';
import { Severity, type Finding } from './finding.js';

/** A subject's state in force. */
export interface SubjectVersion {
  readonly state: SubjectState;
  /** Number of the ticket in force on the subject; absent if not known. */
  readonly ticket?: TicketNumber;
}

/**
 * Finds whether the control hosts refuse the ticket for its number. Of a ticket in force on some of
 * its subjects only, the others are not known: sent again it counts as one with other content.
 */
export function findNumberRefusal(ticket: Ticket, inForce: readonly SubjectVersion[]): Finding[] {
  const registry = new TicketRegistry();
  const isKnown = inForce.some((version) => version.ticket === ticket.number);
  registry.restore({ inForce: groupByTicket(isKnown ? inForce : strip(inForce)), replaced: [] });
  // Of a ticket with another number, only the names matter, and no hash of the content is needed.
  const { code, reason } = registry.submit(ticket, isKnown ? undefined : '').answer;
  return code === undefined
    ? []
    : [
        {
          severity: Severity.Error,
          code,
          subject: findSubject(ticket, inForce, code),
          sentence: `${reason ?? ''} Choose a higher number.`,
        },
      ];
}

/** The first subject whose ticket in force does not let this one replace it. */
function findSubject(ticket: Ticket, inForce: readonly SubjectVersion[], code: number): string {
  const numbers = new Map(inForce.map((each) => [getSubjectName(each.state), each.ticket]));
  const names = ticket.subjects.map((state) => getSubjectName(state));
  const outdated = names.find((name) => ticket.number <= (numbers.get(name) ?? 0));
  const isOutdated = code === Diagnostics.TicketOutdated.code;
  return (isOutdated ? outdated : undefined) ?? names[0] ?? '';
}

/** Leaves out the entries of complete configurations, which may be thousands. */
function strip(inForce: readonly SubjectVersion[]): readonly SubjectVersion[] {
  return inForce.map(({ state, ...version }) =>
    state.kind === SubjectKind.Configuration
      ? { ...version, state: { ...state, routes: [], accounts: [], groups: [], source: '' } }
      : { ...version, state },
  );
}

function groupByTicket(inForce: readonly SubjectVersion[]): Ticket[] {
  const subjects = new Map<TicketNumber, SubjectState[]>();
  for (const { ticket, state } of inForce) {
    if (ticket !== undefined) {
      const known = subjects.get(ticket);
      if (known === undefined) {
        subjects.set(ticket, [state]);
      } else {
        known.push(state);
      }
    }
  }
  return [...subjects].map(([number, states]) => ({ number, subjects: states }));
}
