import type { Brand } from '../../common/ids/index.js';

/** Identity of one member's stored log: new after a lost disk, never reused. */
export type MemberId = Brand<string, 'MemberId'>;

/** Marks a checked string as a MemberId. */
export function toMemberId(value: string): MemberId {
  return value as MemberId;
}
