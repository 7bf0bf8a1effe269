import { getDigest } from '../../common/digest.js';
import { SubjectKind } from './subjectKind.js';
import { getSubjectName, type SubjectState } from './subjectState.js';
import type { Ticket } from './ticket.js';

/**
 * A ticket's content as text: equal for equal content, whatever the order of keys and subjects. The
 * keys of a whole configuration come in the order of its reader, as its source is part of it.
 */
export function getCanonicalContent(ticket: Ticket): string {
  const subjects = ticket.subjects
    .map((state) => ({ name: getSubjectName(state), text: getText(state) }))
    .sort((left, right) => (left.name < right.name ? -1 : 1));
  return subjects.map((subject) => subject.text).join('\n');
}

/** A short hash of a ticket's content; tells resent tickets from others of the same number. */
export function getContentHash(ticket: Ticket): string {
  return getDigest(getCanonicalContent(ticket));
}

/** Sorting keys takes a call for each of the thousands of values of a configuration. */
function getText(state: SubjectState): string {
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
