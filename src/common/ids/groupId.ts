import type { Brand } from './brand.js';

/** Names one database group: a primary and its replicas. */
export type GroupId = Brand<string, 'GroupId'>;

/** Marks a checked string as a GroupId. */
export function toGroupId(value: string): GroupId {
  return value as GroupId;
}
