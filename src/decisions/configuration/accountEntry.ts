import type { AccountId } from '../../common/ids/index.js';
import type { AccountState, ConfiguredAccount } from '../tickets/index.js';

/** A key of a client account, without its secret parts. */
export interface KeyEntry {
  /** What operators know the key by: its id, or the first characters of its digest. */
  readonly label: string;
  /** Label with the first characters of its verifier, if it has one. */
  readonly description: string;
  /** Equal for keys that admit the same callers; not to be printed. */
  readonly identity: string;
}

/** A client account of either format. */
export interface AccountEntry {
  readonly account: AccountId;
  /** Requests per second over the whole fleet. */
  readonly rate: number;
  /** Requests that may be admitted at once above the rate. */
  readonly burst: number;
  readonly maximumOpenTransactions: number;
  readonly keys: readonly KeyEntry[];
  /** Salt of the keys' verifiers; absent if the account has digests. */
  readonly salt?: string;
  readonly iterations?: number;
}

const SHOWN_CHARACTERS = 8;

/** Shortens a digest to its first characters, which identify it and do not reveal it. */
export function shortenDigest(digest: string): string {
  // A digest is a text of any length; at least half of it is left out.
  return `${digest.slice(0, Math.min(SHOWN_CHARACTERS, Math.floor(digest.length / 2)))}…`;
}

/** Creates the entry of an account that a ticket of its own sets. */
export function createAccountEntry(state: AccountState): AccountEntry {
  const { account, rate, burst, maximumOpenTransactions, salt, iterations } = state;
  const keys = state.keys.map(({ id, storedKey, serverKey }) => ({
    label: id,
    description: `${id} (${shortenDigest(storedKey)})`,
    // A key is verified with the account's salt: with another salt it admits nobody.
    identity: `${salt} ${iterations} ${storedKey} ${serverKey}`,
  }));
  return { account, rate, burst, maximumOpenTransactions, keys, salt, iterations };
}

/** Creates the entry of an account of a complete configuration. */
export function createConfiguredEntry(state: ConfiguredAccount): AccountEntry {
  const { account, rate, burst, maximumOpenTransactions } = state;
  const keys = state.keyDigests.map((digest) => {
    const label = shortenDigest(digest);
    return { label, description: label, identity: digest };
  });
  return { account, rate, burst, maximumOpenTransactions, keys };
}

const SHOWN_KEYS = 5;

/** Lists the labels of keys; of many, the first ones and their number. */
export function listKeys(keys: readonly KeyEntry[]): string {
  const shown = keys.slice(0, SHOWN_KEYS).map(({ label }) => label);
  const rest = keys.length - shown.length;
  return rest === 0 ? shown.join(', ') : `${shown.join(', ')} and ${rest} more`;
}
