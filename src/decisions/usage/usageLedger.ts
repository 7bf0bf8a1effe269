import type { WindowNumber } from '../../common/ids/index.js';
import { KeptUsage, type KeptCounts } from './keptUsage.js';
import { parseWindowCounts } from './usageSectionSchema.js';
import type { WindowCounts } from './windowCounts.js';

/** Windows kept while the platform takes no reports: five minutes of 5 s windows. */
export const MAXIMUM_PENDING_WINDOWS = 60;

/** Snapshot of the committed usage as plain data. */
export interface UsageSnapshot {
  /** Last window whose counts were committed; absent if none was. */
  readonly committed?: WindowNumber;
  readonly pending: readonly WindowCounts[];
  readonly kept: readonly KeptCounts[];
}

/**
 * Windows whose counts are committed. Windows are committed in ascending order and each at most
 * once, so that no two reports of a window differ.
 */
export class UsageLedger {
  private committedWindow: WindowNumber | undefined;
  private readonly windows = new Map<WindowNumber, WindowCounts>();
  private readonly keptUsage = new KeptUsage();

  /** Last window whose counts were committed. */
  get committed(): WindowNumber | undefined {
    return this.committedWindow;
  }

  /** Committed windows that are not settled, in ascending order. */
  get pending(): readonly WindowCounts[] {
    return [...this.windows.values()];
  }

  /** Counts of hosts that fell silent, of windows that are not committed. */
  get kept(): readonly KeptCounts[] {
    return this.keptUsage.getAll();
  }

  /** Keeps the counts of a host that fell silent. */
  keep(counts: KeptCounts): boolean {
    return this.keptUsage.keep(counts, this.committedWindow);
  }

  /** Commits the counts of a window; false if they are invalid or one like it was committed. */
  commit(value: WindowCounts): boolean {
    const counts = parseWindowCounts(value);
    if (counts === undefined || counts.window <= (this.committedWindow ?? -1)) {
      return false;
    }
    this.committedWindow = counts.window;
    this.windows.set(counts.window, counts);
    this.keptUsage.drop(counts.window);
    const [oldest] = this.windows.keys();
    if (this.windows.size > MAXIMUM_PENDING_WINDOWS && oldest !== undefined) {
      this.windows.delete(oldest);
    }
    return true;
  }

  /** Removes a window that was reported or is given up. */
  settle(window: WindowNumber): boolean {
    return this.windows.delete(window);
  }

  /** Returns the state as plain data; undefined if no usage was ever recorded. */
  createSnapshot(): UsageSnapshot | undefined {
    const { committedWindow: committed, pending, kept } = this;
    return committed === undefined && kept.length === 0
      ? undefined
      : { ...(committed === undefined ? {} : { committed }), pending, kept };
  }

  /** Replaces the state with that of a snapshot; invalid parts are left out. */
  restore(snapshot: UsageSnapshot | undefined): void {
    this.windows.clear();
    const committed: unknown = snapshot?.committed;
    const isValid = Number.isSafeInteger(committed);
    this.committedWindow = isValid ? snapshot?.committed : undefined;
    const pending: unknown = snapshot?.pending;
    for (const value of Array.isArray(pending) ? pending : []) {
      const counts = parseWindowCounts(value);
      if (counts !== undefined && counts.window <= (this.committedWindow ?? -1)) {
        this.windows.set(counts.window, counts);
      }
    }
    this.keptUsage.restore(snapshot?.kept, this.committedWindow);
  }
}
