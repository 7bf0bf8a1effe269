import type { Brand } from './brand.js';

/** Identifies one request between daemons, unique within the sender's incarnation. */
export type RequestId = Brand<string, 'RequestId'>;

/** Marks a checked string as a RequestId. */
export function toRequestId(value: string): RequestId {
  return value as RequestId;
}
