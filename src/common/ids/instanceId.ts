import type { Brand } from './brand.js';

/** Names one database instance (backend server) of a group. */
export type InstanceId = Brand<string, 'InstanceId'>;

/** Marks a checked string as a InstanceId. */
export function toInstanceId(value: string): InstanceId {
  return value as InstanceId;
}
