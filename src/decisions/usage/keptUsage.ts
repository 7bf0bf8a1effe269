import type { Incarnation, WindowNumber } from '../../common/ids/index.js';
import { parseWindowCounts } from './usageSectionSchema.js';
import type { WindowCounts } from './windowCounts.js';

/** Incarnations whose counts are kept: far more than hosts are lost within a few windows. */
const MAXIMUM_KEPT = 512;

/** Counts that an incarnation of a host reported, for windows that are not committed. */
export interface KeptCounts {
  readonly incarnation: Incarnation;
  readonly windows: readonly WindowCounts[];
}

/**
 * Counts of hosts that fell silent: such a host may be lost, so that it can't report them to the
 * next control leader.
 */
export class KeptUsage {
  private readonly kept = new Map<Incarnation, readonly WindowCounts[]>();

  /** Replaces the counts of an incarnation; false if they are invalid. */
  keep(value: KeptCounts, committed: WindowNumber | undefined): boolean {
    const kept = parseKeptCounts(value);
    if (kept === undefined) {
      return false;
    }
    this.kept.delete(kept.incarnation);
    this.kept.set(kept.incarnation, kept.windows);
    const [oldest] = this.kept.keys();
    if (this.kept.size > MAXIMUM_KEPT && oldest !== undefined) {
      this.kept.delete(oldest);
    }
    this.drop(committed);
    return true;
  }

  /** Drops the windows up to one. */
  drop(committed: WindowNumber | undefined): void {
    for (const [incarnation, windows] of this.kept) {
      const left = windows.filter(({ window }) => window > (committed ?? -1));
      if (left.length === 0) {
        this.kept.delete(incarnation);
      } else if (left.length < windows.length) {
        this.kept.set(incarnation, left);
      }
    }
  }

  /** All kept counts. */
  getAll(): readonly KeptCounts[] {
    return [...this.kept].map(([incarnation, windows]) => ({ incarnation, windows }));
  }

  /** Replaces the content; invalid entries are left out. */
  restore(values: unknown, committed: WindowNumber | undefined): void {
    this.kept.clear();
    for (const value of Array.isArray(values) ? values : []) {
      this.keep(value as KeptCounts, committed);
    }
  }
}

function parseKeptCounts(value: unknown): KeptCounts | undefined {
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }
  const { incarnation, windows } = value as { incarnation?: unknown; windows?: unknown };
  if (typeof incarnation !== 'string' || !Array.isArray(windows)) {
    return undefined;
  }
  const parsed = windows
    .map((each) => parseWindowCounts(each))
    .filter((each) => each !== undefined);
  return { incarnation: incarnation as Incarnation, windows: parsed };
}
