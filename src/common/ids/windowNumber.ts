import type { Brand } from './brand.js';

/** Number of a usage window; window k begins k window lengths after the start of 1970. */
export type WindowNumber = Brand<number, 'WindowNumber'>;

/** Marks a checked number as a WindowNumber. */
export function toWindowNumber(value: number): WindowNumber {
  return value as WindowNumber;
}
