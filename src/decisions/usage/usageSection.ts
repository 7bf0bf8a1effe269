import type { AccountId, WindowNumber } from '../../common/ids/index.js';

/** Name of a client account that the sender refers to by an index. */
export type AccountName = readonly [index: number, account: AccountId];

/** Counts of one window in the short form in which a host sends them. */
export interface IndexedCounts {
  readonly window: WindowNumber;
  /** Indices of accounts, each followed by the account's count. */
  readonly counts: readonly number[];
}

/** Usage part of a lease renewal. */
export interface UsageSection {
  /** Increases with each section of the sender's incarnation. */
  readonly number: number;
  /** Wall clock time of the sender. */
  readonly wallMs: number;
  /** Consensus term of the leader whose answers acknowledged the counts that are left out. */
  readonly base?: number;
  /** Window in which the sender began to count; absent until it knows the fleet time. */
  readonly since?: WindowNumber;
  /** Before this window, all counts are in this section or were acknowledged by the base term. */
  readonly through?: WindowNumber;
  /** Cumulative counts of the incarnation that are not acknowledged by the base term. */
  readonly windows: readonly IndexedCounts[];
  /** Names for the indices that no answer of the base term has acknowledged. */
  readonly names: readonly AccountName[];
}

/** Usage part of a lease grant; answers one section. */
export interface UsageGrant {
  /** Number of the answered section. */
  readonly number: number;
  /** Consensus term of the leader. */
  readonly term: number;
  /** Fleet time; absent until the leader knows it. */
  readonly fleetMs?: number;
  /** The counts of all windows up to this one are final: the sender drops them. */
  readonly settled?: WindowNumber;
  /** The leader lacks names of accounts: the sender sends all counts and names again. */
  readonly isUnknown?: boolean;
}
