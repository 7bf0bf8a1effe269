import type {
  AccountId,
  HostId,
  Incarnation,
  LeaseId,
  WindowNumber,
} from '../../common/ids/index.js';
import type { KeptCounts } from './keptUsage.js';
import type { IndexedCounts, UsageSection } from './usageSection.js';
import type { AccountCount, WindowCounts } from './windowCounts.js';

/**
 * Time for which a lease without a section is waited for. Sections may be left out of renewals that
 * follow one another quickly; a host of an earlier version sends none at all.
 */
const FIRST_SECTION_MS = 1000;

/** The sender of a section. */
export interface UsageSender {
  readonly host: HostId;
  readonly incarnation: Incarnation;
  readonly lease: LeaseId;
}

interface Reporter {
  /** Time of the last renewal. */
  lastMs: number;
  readonly incarnation: Incarnation;
  readonly firstMs: number;
}

interface Report {
  readonly number: number;
  readonly since: WindowNumber | undefined;
  /** Before this window, the leader has all counts of the incarnation. */
  readonly through: WindowNumber | undefined;
  /** Accounts by the indices that the incarnation uses. */
  readonly names: Map<number, AccountId>;
  /** Whether the counts were returned as those of a silent incarnation. */
  isKept: boolean;
}

/** Counts that hosts reported to a control leader, by incarnation: a lost host's counts stay. */
export class CollectedUsage {
  private readonly windows = new Map<WindowNumber, Map<AccountId, Map<Incarnation, number>>>();
  private readonly reports = new Map<Incarnation, Report>();
  private readonly reporters = new Map<LeaseId, Reporter>();

  /** Records that a renewal arrived, whether or not it has a section. */
  recordRenewal({ incarnation, lease }: UsageSender, nowMs: number): void {
    const known = this.reporters.get(lease);
    if (known === undefined) {
      this.reporters.set(lease, { incarnation, firstMs: nowMs, lastMs: nowMs });
    } else {
      known.lastMs = nowMs;
    }
  }

  /**
   * Adds the counts of a section that are of windows from `first` to `last`. An earlier section than
   * the last one has no effect. Returns false if the section refers to accounts that it does not
   * name, and that no earlier one named: its counts are not added then.
   */
  add(
    { incarnation }: UsageSender,
    section: UsageSection,
    term: number,
    [first, last]: readonly [first: number, last: number],
  ): boolean {
    const known = this.reports.get(incarnation);
    if (known !== undefined && section.number <= known.number) {
      return true;
    }
    const names = known?.names ?? new Map<number, AccountId>();
    for (const [index, account] of section.names) {
      names.set(index, account);
    }
    const windows = section.windows.map((each) => nameAccounts(each, names));
    const isKnown = windows.every((each) => each !== undefined);
    const isComplete = isKnown && section.base === term;
    this.reports.set(incarnation, {
      number: section.number,
      since: section.since,
      through: isComplete ? section.through : undefined,
      names,
      isKept: false,
    });
    for (const { window, counts } of isKnown ? windows : []) {
      if (window >= first && window <= last) {
        this.addWindow(incarnation, window, counts);
      }
    }
    return isKnown;
  }

  /** Adds counts that an earlier leader kept; the incarnation's own reports replace them. */
  addKept({ incarnation, windows }: KeptCounts): void {
    for (const { window, counts } of windows) {
      this.addWindow(incarnation, window, counts);
    }
  }

  /** The incarnations that fell silent before a time and reported since they were last returned. */
  takeSilent(beforeMs: number): KeptCounts[] {
    const silent: KeptCounts[] = [];
    for (const { incarnation, lastMs } of this.reporters.values()) {
      const report = this.reports.get(incarnation);
      if (lastMs < beforeMs && report?.isKept === false) {
        report.isKept = true;
        silent.push({ incarnation, windows: this.getCounts(incarnation) });
      }
    }
    return silent.filter(({ windows }) => windows.length > 0);
  }

  /** Whether all counts of a window are known from every one of the leases. */
  hasAll(window: WindowNumber, leases: Iterable<LeaseId>, nowMs: number): boolean {
    for (const lease of leases) {
      const reporter = this.reporters.get(lease);
      const report = reporter === undefined ? undefined : this.reports.get(reporter.incarnation);
      const isReporting =
        report !== undefined ||
        (reporter !== undefined && nowMs - reporter.firstMs < FIRST_SECTION_MS);
      if (isReporting && (report?.through ?? 0) <= window) {
        return false;
      }
    }
    return true;
  }

  /**
   * The first window from `least` on of which anything is known: counts, or a host that was already
   * counting.
   */
  findNext(least: number): WindowNumber | undefined {
    const counted = [...this.windows.keys()].filter((window) => window >= least);
    const observed = [...this.reports.values()]
      .map(({ since }) => since)
      .filter((since) => since !== undefined)
      .map((since) => Math.max(least, since));
    const next = Math.min(...counted, ...observed);
    return Number.isFinite(next) ? (next as WindowNumber) : undefined;
  }

  /** The sums of a window over all incarnations, in the order of the accounts' names. */
  sum(window: WindowNumber): WindowCounts {
    const counts: AccountCount[] = [];
    for (const [account, incarnations] of this.windows.get(window) ?? []) {
      const count = [...incarnations.values()].reduce((sum, each) => sum + each, 0);
      if (count > 0) {
        counts.push([account, count]);
      }
    }
    counts.sort(([first], [second]) => (first < second ? -1 : 1));
    return { window, counts };
  }

  /** Drops the windows up to one, and the reports of hosts without any of the leases. */
  retain(settled: WindowNumber | undefined, leases: ReadonlySet<LeaseId>): void {
    for (const window of this.windows.keys()) {
      if (settled !== undefined && window <= settled) {
        this.windows.delete(window);
      }
    }
    for (const lease of this.reporters.keys()) {
      if (!leases.has(lease)) {
        this.reporters.delete(lease);
      }
    }
    const incarnations = new Set([...this.reporters.values()].map((each) => each.incarnation));
    for (const incarnation of this.reports.keys()) {
      if (!incarnations.has(incarnation)) {
        this.reports.delete(incarnation);
      }
    }
  }

  clear(): void {
    this.windows.clear();
    this.reports.clear();
    this.reporters.clear();
  }

  private getCounts(incarnation: Incarnation): WindowCounts[] {
    const windows: WindowCounts[] = [];
    for (const [window, accounts] of this.windows) {
      const counts: AccountCount[] = [];
      for (const [account, incarnations] of accounts) {
        const count = incarnations.get(incarnation);
        if (count !== undefined) {
          counts.push([account, count]);
        }
      }
      if (counts.length > 0) {
        windows.push({ window, counts });
      }
    }
    return windows;
  }

  private addWindow(
    incarnation: Incarnation,
    window: WindowNumber,
    counts: readonly AccountCount[],
  ): void {
    const accounts = this.windows.get(window) ?? new Map<AccountId, Map<Incarnation, number>>();
    this.windows.set(window, accounts);
    for (const [account, count] of counts) {
      const incarnations = accounts.get(account) ?? new Map<Incarnation, number>();
      accounts.set(account, incarnations.set(incarnation, count));
    }
  }
}

/** Replaces indices by names; undefined if an index stands for no account. */
function nameAccounts(
  { window, counts }: IndexedCounts,
  names: ReadonlyMap<number, AccountId>,
): WindowCounts | undefined {
  const named: AccountCount[] = [];
  for (let position = 0; position < counts.length; position += 2) {
    const account = names.get(counts[position] ?? -1);
    if (account === undefined) {
      return undefined;
    }
    named.push([account, counts[position + 1] ?? 0]);
  }
  return { window, counts: named };
}
