import type { Brand } from './brand.js';

/** Identifies one daemon lease; an expired lease is never renewed under the same id. */
export type LeaseId = Brand<string, 'LeaseId'>;

/** Marks a checked string as a LeaseId. */
export function toLeaseId(value: string): LeaseId {
  return value as LeaseId;
}
