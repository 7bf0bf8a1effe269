import { assertInvariant } from '../../common/diagnostics/index.js';
import type { HardState } from './hardState.js';
import type { LogEntry } from './logEntry.js';
import type { PersistOutput } from './output.js';
import type { Snapshot } from './snapshot.js';
import type { StoredState } from './storedState.js';

/** The part of a Persist output that is stored. */
export type StoredChange<Command> = Pick<
  PersistOutput<Command>,
  'hardState' | 'snapshot' | 'truncateFrom' | 'entries'
>;

/** The stored state that results from a sequence of changes. */
export class StoredLog<Command> {
  private hardState: HardState;
  private snapshot: Snapshot | undefined;
  private entries: LogEntry<Command>[];

  constructor(state: StoredState<Command>) {
    this.hardState = state.hardState;
    this.snapshot = state.snapshot;
    this.entries = [...state.entries];
  }

  /** Applies one change, in the order that PersistOutput describes. */
  apply(change: StoredChange<Command>): void {
    this.hardState = change.hardState ?? this.hardState;
    if (change.snapshot !== undefined) {
      const { index } = change.snapshot;
      this.entries = this.entries.filter((entry) => entry.index > index);
      this.snapshot = change.snapshot;
    }
    if (change.truncateFrom !== undefined) {
      const count = change.truncateFrom - this.firstIndex;
      this.entries.length = Math.min(this.entries.length, Math.max(0, count));
    }
    for (const entry of change.entries) {
      const nextIndex = this.firstIndex + this.entries.length;
      assertInvariant(entry.index === nextIndex, 'stored entries are contiguous');
      this.entries.push(entry);
    }
  }

  /** A copy of the state. */
  getState(): StoredState<Command> {
    return { hardState: this.hardState, snapshot: this.snapshot, entries: [...this.entries] };
  }

  private get firstIndex(): number {
    return (this.snapshot?.index ?? 0) + 1;
  }
}
