import type { Brand } from './brand.js';

/** Names one failure domain. */
export type FailureDomain = Brand<string, 'FailureDomain'>;

/** Marks a checked string as a FailureDomain. */
export function toFailureDomain(value: string): FailureDomain {
  return value as FailureDomain;
}
