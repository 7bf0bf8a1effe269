import type { Brand } from './brand.js';

/** The number of a change ticket: a positive integer. */
export type TicketNumber = Brand<number, 'TicketNumber'>;

/** Marks a checked number as a TicketNumber. */
export function toTicketNumber(value: number): TicketNumber {
  return value as TicketNumber;
}
