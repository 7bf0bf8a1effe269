import type { Brand } from './brand.js';

/** Identifies one run of a daemon process, from start to exit; never reused. */
export type Incarnation = Brand<string, 'Incarnation'>;

/** Marks a checked string as an Incarnation. */
export function toIncarnation(value: string): Incarnation {
  return value as Incarnation;
}
