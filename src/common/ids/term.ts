import type { Brand } from './brand.js';

/** The term of a database group's primary; increases by at least one at each promotion. */
export type Term = Brand<number, 'Term'>;

/** Marks a checked number as a Term. */
export function toTerm(value: number): Term {
  return value as Term;
}
