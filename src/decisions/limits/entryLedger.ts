import type { HostId, Incarnation } from '../../common/ids/index.js';

/** A holder's ledger of the grants to one incarnation of an entry daemon. */
export interface EntryLedger {
  readonly key: string;
  readonly entry: HostId;
  readonly incarnation: Incarnation;
  /** Amounts of the grants not yet settled, by request sequence. */
  readonly grants: Map<number, number>;
  lastSequence: number;
  demand: number;
  lastSeenMs: number;
}

/** Returns the key that identifies one incarnation of an entry daemon. */
export function getLedgerKey(entry: HostId, incarnation: Incarnation): string {
  return `${entry}/${incarnation}`;
}

/** Creates the ledger of an incarnation from which no message was received before. */
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
