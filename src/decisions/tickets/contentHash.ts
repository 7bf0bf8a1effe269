import { getDigest } from '../../common/digest.js';
import { SubjectKind } from './subjectKind.js';
import { getSubjectName, type SubjectState } from './subjectState.js';
import type { Ticket } from './ticket.js';

/**
 * Returns a ticket's content as text, equal for equal content regardless of the order of keys and
 * subjects. The keys of a configuration keep the order in which they were read, since its source
 * text is part of it.
 */
export function getCanonicalContent(ticket: Ticket): string {
  const subjects = ticket.subjects
    .map((state) => ({ name: getSubjectName(state), text: serializeSubject(state) }))
    .sort((left, right) => (left.name < right.name ? -1 : 1));
  return subjects.map((subject) => subject.text).join('\n');
}

/**
 * Returns a short hash of a ticket's content, to distinguish a resent ticket from a different ticket
 * with the same number.
 */
export function getContentHash(ticket: Ticket): string {
  return getDigest(getCanonicalContent(ticket));
}

/**
 * Serializes a subject with sorted keys. Those of a configuration are not sorted, which would take
 * a call for each of its thousands of values.
 */
function serializeSubject(state: SubjectState): string {
  return state.kind === SubjectKind.Configuration
    ? JSON.stringify(state)
    : JSON.stringify(state, sortKeys);
}

function sortKeys(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries);
}
