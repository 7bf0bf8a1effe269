import type { Brand } from './brand.js';

/** The index of the control log entry that last changed a record. */
export type Revision = Brand<number, 'Revision'>;

/** Marks a checked number as a Revision. */
export function toRevision(value: number): Revision {
  return value as Revision;
}
