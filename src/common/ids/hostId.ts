import type { Brand } from './brand.js';

/** Names one host of the system. */
export type HostId = Brand<string, 'HostId'>;

/** Marks a checked string as a HostId. */
export function toHostId(value: string): HostId {
  return value as HostId;
}
