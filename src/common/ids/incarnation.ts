import type { Brand } from './brand.js';

/** Identifies one life of a daemon process; never used twice. */
export type Incarnation = Brand<string, 'Incarnation'>;

/** Marks a checked string as a Incarnation. */
export function toIncarnation(value: string): Incarnation {
  return value as Incarnation;
}
