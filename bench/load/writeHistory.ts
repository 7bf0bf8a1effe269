import { LoadOutcome } from './loadOutcome.js';

/** What the log of an instance must have for a check. */
export interface HistoryRecord {
  readonly changes: readonly HistoryChange[];
}

/** A change of a log record; only inserted and updated rows count. */
export interface HistoryChange {
  readonly kind: string;
  readonly table?: string;
  readonly row?: readonly unknown[];
}

/** A promise that a history breaks. */
export interface HistoryFault {
  readonly promise:
    | 'acknowledged write lost'
    | 'write applied twice'
    | 'write applied though not run'
    | 'write never asked for'
    | 'counter off';
  readonly id: string;
  readonly times: number;
}

/** The table of inserts, whose first column is the write's id. */
export const ENTRIES_TABLE = 'load_entries';

/** The table of counters, of an account's id and its number. */
export const COUNTERS_TABLE = 'load_counters';

interface Expectation {
  readonly counter: string | undefined;
  outcome: LoadOutcome | undefined;
}

/** The writes that a load asked for and how each ended for its caller. */
export class WriteHistory {
  private readonly writes = new Map<string, Expectation>();

  /** Notes a write before it is sent, with the counter that it adds one to, if any. */
  begin(id: string, counter?: string): void {
    this.writes.set(id, { counter, outcome: undefined });
  }

  /** Notes how a write ended; one that never ends counts as unknown. */
  end(id: string, outcome: LoadOutcome): void {
    const write = this.writes.get(id);
    if (write !== undefined) {
      write.outcome = outcome;
    }
  }

  /** The number of writes with an outcome. */
  count(outcome: LoadOutcome): number {
    return [...this.writes.values()].filter((write) => write.outcome === outcome).length;
  }

  /** Compares the writes with the log of the instance that leads the group at the end. */
  check(records: Iterable<HistoryRecord>): HistoryFault[] {
    const applied = new Map<string, number>();
    const counters = new Map<string, number>();
    for (const { changes } of records) {
      for (const { kind, table, row } of changes) {
        if (kind === 'put' && table === ENTRIES_TABLE) {
          const id = String(row?.[0]);
          applied.set(id, (applied.get(id) ?? 0) + 1);
        } else if (kind === 'put' && table === COUNTERS_TABLE) {
          counters.set(String(row?.[0]), Number(row?.[1]));
        }
      }
    }
    return [...this.checkEntries(applied), ...this.checkCounters(applied, counters)];
  }

  private checkEntries(applied: ReadonlyMap<string, number>): HistoryFault[] {
    const faults: HistoryFault[] = [];
    for (const [id, { outcome }] of this.writes) {
      const promise = judge(outcome, applied.get(id) ?? 0);
      if (promise !== undefined) {
        faults.push({ promise, id, times: applied.get(id) ?? 0 });
      }
    }
    for (const [id, times] of applied) {
      if (!this.writes.has(id)) {
        faults.push({ promise: 'write never asked for', id, times });
      }
    }
    return faults;
  }

  /** A counter must stand at the number of applied writes that add to it: no lost update. */
  private checkCounters(
    applied: ReadonlyMap<string, number>,
    counters: ReadonlyMap<string, number>,
  ): HistoryFault[] {
    const expected = new Map<string, number>();
    for (const [id, { counter }] of this.writes) {
      if (counter !== undefined) {
        expected.set(counter, (expected.get(counter) ?? 0) + (applied.get(id) ?? 0));
      }
    }
    return [...expected]
      .map(([id, times]) => ({ id, times, found: counters.get(id) ?? 0 }))
      .filter(({ times, found }) => times !== found)
      .map(({ id, found }) => ({ promise: 'counter off' as const, id, times: found }));
  }
}

function judge(
  outcome: LoadOutcome | undefined,
  times: number,
): HistoryFault['promise'] | undefined {
  if (times > 1) {
    return 'write applied twice';
  }
  if (outcome === LoadOutcome.Acknowledged && times === 0) {
    return 'acknowledged write lost';
  }
  const hasNoEffect =
    outcome === LoadOutcome.NotRun ||
    outcome === LoadOutcome.Failed ||
    outcome === LoadOutcome.Unsent;
  return hasNoEffect && times > 0 ? 'write applied though not run' : undefined;
}
