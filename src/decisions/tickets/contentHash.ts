import { getSubjectName } from './subjectState.js';
import type { Ticket } from './ticket.js';

const FIRST_SEEDS = [0x9e3779b9, 0x85ebca6b] as const;
const SECOND_SEEDS = [0xc2b2ae35, 0x27d4eb2f] as const;

/** A ticket's content as text: equal for equal content, whatever the order of keys and subjects. */
export function getCanonicalContent(ticket: Ticket): string {
  const subjects = ticket.subjects
    .map((state) => ({ name: getSubjectName(state), text: JSON.stringify(state, sortKeys) }))
    .sort((left, right) => (left.name < right.name ? -1 : 1));
  return subjects.map((subject) => subject.text).join('\n');
}

/** A short hash of a ticket's content; tells resent tickets from others of the same number. */
export function getContentHash(ticket: Ticket): string {
  const text = getCanonicalContent(ticket);
  return `${text.length}-${hash(text, FIRST_SEEDS)}-${hash(text, SECOND_SEEDS)}`;
}

function sortKeys(_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return value;
  }
  const entries = Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries);
}

function hash(text: string, seeds: readonly [number, number]): string {
  let [high, low] = seeds;
  for (let index = 0; index < text.length; index++) {
    const code = text.charCodeAt(index);
    high = Math.imul(high ^ code, 2654435761);
    low = Math.imul(low ^ code, 1597334677);
  }
  high = Math.imul(high ^ (high >>> 16), 2246822507) ^ Math.imul(low ^ (low >>> 13), 3266489909);
  low = Math.imul(low ^ (low >>> 16), 2246822507) ^ Math.imul(high ^ (high >>> 13), 3266489909);
  return (high >>> 0).toString(36) + (low >>> 0).toString(36);
}
