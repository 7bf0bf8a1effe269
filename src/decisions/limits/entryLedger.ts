import type { HostId, Incarnation } from '../../common/ids/index.js';

/** What a holder knows about one life of one entry daemon. */
export interface EntryLedger {
  readonly key: string;
  readonly entry: HostId;
  readonly incarnation: Incarnation;
  /** Amounts of the grants not yet settled, by sequence. */
  readonly grants: Map<number, number>;
  lastSequence: number;
  demand: number;
  lastSeenMs: number;
}

/** Names one life of one entry daemon. */
export function getLedgerKey(entry: HostId, incarnation: Incarnation): string {
  return `${entry}/${incarnation}`;
}

/** Creates the ledger of an entry daemon that was not heard of before. */
export function createLedger(entry: HostId, incarnation: Incarnation, nowMs: number): EntryLedger {
  return {
    key: getLedgerKey(entry, incarnation),
    entry,
    incarnation,
    grants: new Map(),
    lastSequence: 0,
    demand: 0,
    lastSeenMs: nowMs,
  };
}
