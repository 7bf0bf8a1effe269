import type { Brand } from './brand.js';

/** Names one client account. */
export type AccountId = Brand<string, 'AccountId'>;

/** Marks a checked string as an AccountId. */
export function toAccountId(value: string): AccountId {
  return value as AccountId;
}
