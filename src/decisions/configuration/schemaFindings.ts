import { err, ok, type Result } from 'neverthrow';
import { Diagnostics } from '../../common/diagnostics/index.js';
import {
  formatPath,
  getSubjectName,
  SubjectKind,
  ticketSchema,
  type Ticket,
} from '../tickets/index.js';
import { shortenDigest } from './accountEntry.js';
import { createFinding, type Finding } from './finding.js';

/** Fields that identify an element of a list in a ticket. */
const IDENTITIES = ['route', 'account', 'group', 'id', 'member', 'host'] as const;
const SHOWN_REPEATED = 5;

/** Validates an external ticket like `tryParseTicket`; the error is all that is invalid. */
export function validateTicket(value: unknown): Result<Ticket, readonly Finding[]> {
  const checked = ticketSchema.safeParse(value);
  if (!checked.success) {
    const findings = checked.error.issues.map(({ path, message, code }) => {
      const repeated = code === 'custom' ? listRepeated(findValue(value, path)) : '';
      const expected = `${message}${repeated}`;
      const values = { path: formatPath(path), expected };
      return createFinding(Diagnostics.TicketInvalid, nameSubject(value, path), values);
    });
    return err(findings);
  }
  // The schema has checked the values of the branded types.
  const ticket = checked.data as unknown as Ticket;
  const repeated = findRepeatedSubjects(ticket);
  return repeated.length === 0 ? ok(ticket) : err(repeated);
}

function findRepeatedSubjects(ticket: Ticket): readonly Finding[] {
  const names = new Set<string>();
  const findings: Finding[] = [];
  for (const [index, state] of ticket.subjects.entries()) {
    const name = getSubjectName(state);
    if (names.has(name)) {
      const values = { path: `subjects[${index}]`, expected: 'expected each subject once' };
      findings.push(createFinding(Diagnostics.TicketInvalid, name, values));
    }
    names.add(name);
  }
  return findings;
}

/** Names the subject that a path leads to, or the entry of a complete configuration. */
function nameSubject(value: unknown, path: readonly PropertyKey[]): string {
  const [list, index, entries, entry] = path;
  if (list !== 'subjects' || index === undefined) {
    return 'ticket';
  }
  const isEntry = typeof entries === 'string' && typeof entry === 'number';
  const names = [isEntry ? path.slice(0, 4) : [], path.slice(0, 2)].map((place) =>
    nameState(findValue(value, place)),
  );
  return names.find((name) => name !== undefined) ?? formatPath(path.slice(0, 2));
}

function nameState(state: unknown): string | undefined {
  const { kind, ...fields } = (state ?? {}) as Record<string, unknown>;
  switch (kind) {
    case SubjectKind.Account:
    case SubjectKind.Group:
    case SubjectKind.Route: {
      const name = fields[kind];
      return typeof name === 'string' ? `${kind}/${name}` : undefined;
    }
    case SubjectKind.FailureDomain:
      return typeof fields.domain === 'string' ? `${kind}/${fields.domain}` : undefined;
    case SubjectKind.BackendServer: {
      const { group, instance } = fields;
      const isNamed = typeof group === 'string' && typeof instance === 'string';
      return isNamed ? `${kind}/${group}/${instance}` : undefined;
    }
    case SubjectKind.ControlMembers:
    case SubjectKind.Configuration:
      return kind;
    default:
      return undefined;
  }
}

function findValue(value: unknown, path: readonly PropertyKey[]): unknown {
  let found = value;
  for (const part of path) {
    found = (found as Record<PropertyKey, unknown> | undefined)?.[part];
  }
  return found;
}

/** Lists what occurs more than once in a list of the ticket. */
function listRepeated(value: unknown): string {
  const elements = (Array.isArray(value) ? value : []) as Record<string, unknown>[];
  const repeated = new Set<string>();
  for (const field of IDENTITIES) {
    addRepeated(
      elements.map((element) => element[field]),
      repeated,
    );
  }
  const digests = new Set<string>();
  addRepeated(
    elements.flatMap(({ keyDigests }) => keyDigests ?? []),
    digests,
  );
  const shown = [...repeated, ...[...digests].map(shortenDigest)];
  const rest = shown.length - SHOWN_REPEATED;
  return shown.length === 0
    ? ''
    : `: ${shown.slice(0, SHOWN_REPEATED).join(', ')}${rest > 0 ? ` and ${rest} more` : ''}`;
}

function addRepeated(values: readonly unknown[], repeated: Set<string>): void {
  const seen = new Set<unknown>();
  for (const value of values) {
    if (typeof value === 'string' && seen.has(value)) {
      repeated.add(value);
    }
    seen.add(value);
  }
}
