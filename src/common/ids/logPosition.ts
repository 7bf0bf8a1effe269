import type { Brand } from './brand.js';

/** A byte position in a database group's log, comparable within one timeline. */
export type LogPosition = Brand<number, 'LogPosition'>;

/** Marks a checked number as a LogPosition. */
export function toLogPosition(value: number): LogPosition {
  return value as LogPosition;
}
