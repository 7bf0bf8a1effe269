import type { AccountId, WindowNumber } from '../../common/ids/index.js';
import { TrafficBudget } from './trafficBudget.js';
import { AccountIndices } from './accountIndices.js';
import type { AccountName, IndexedCounts, UsageGrant, UsageSection } from './usageSection.js';

/** Minimum time between two sections: renewals also go out at each change of a group. */
const SECTION_INTERVAL_MS = 200;
/** Windows kept while no control leader settles them: five minutes of 5 s windows. */
const MAXIMUM_WINDOWS = 60;
/** Sections without an answer that are remembered; an older one is sent again. */
const MAXIMUM_UNANSWERED = 16;

/** Bytes of a count: an index and a number below 65,536. */
const COUNT_BYTES = 4;
/** Bytes of a name besides its text. */
const NAME_BYTES = 4;

interface AccountState {
  count: number;
  /** Count that the leader of the known term has acknowledged. */
  acknowledged: number;
  /** Whether an earlier leader had acknowledged a count that this one lacks. */
  isForgotten: boolean;
}

/** Content of a section that has no answer yet. */
interface SentContent {
  readonly changes: readonly Change[];
  readonly names: readonly AccountName[];
}

interface Change {
  readonly window: WindowNumber;
  readonly account: AccountId;
  readonly count: number;
  readonly difference: number;
  readonly isForgotten: boolean;
}

/** Fleet time at a host when it sends a section. */
export interface SectionTimes {
  readonly nowMs: number;
  readonly wallMs: number;
  /** Window of the present fleet time; absent until it is known. */
  readonly window?: WindowNumber;
}

/** Counts of one incarnation of a host, and which of them its control leader lacks. */
export class HostUsage {
  private readonly windows = new Map<WindowNumber, Map<AccountId, AccountState>>();
  private readonly unanswered = new Map<number, SentContent>();
  private readonly indices = new AccountIndices();
  private readonly budget = new TrafficBudget();
  private number = 0;
  private lastSectionMs = -Infinity;
  private term: number | undefined;
  private since: WindowNumber | undefined;
  private settled: WindowNumber | undefined;
  private droppedCount = 0;
  private isFinishing = false;

  /** Number of counted requests that were dropped, since their window was settled or is too old. */
  get dropped(): number {
    return this.droppedCount;
  }

  /** Whether every count is acknowledged. */
  get isDelivered(): boolean {
    return this.findChanges().length === 0;
  }

  /** Counts a request that begins to run. */
  add(account: AccountId, window: WindowNumber): void {
    if (this.isSettled(window)) {
      this.droppedCount += 1;
      return;
    }
    const accounts = this.windows.get(window) ?? this.createWindow(window);
    const state = accounts.get(account);
    if (state === undefined) {
      accounts.set(account, { count: 1, acknowledged: 0, isForgotten: false });
    } else {
      state.count += 1;
    }
  }

  /** Takes back a request that was counted and did not run. */
  remove(account: AccountId, window: WindowNumber): void {
    const state = this.windows.get(window)?.get(account);
    if (state !== undefined && state.count > 0) {
      state.count -= 1;
    }
  }

  /** Sends all counts with the next sections, since the host stops. */
  finish(): void {
    this.isFinishing = true;
    this.lastSectionMs = -Infinity;
  }

  /** Creates the section of the next renewal; undefined if one was created shortly before. */
  createSection({ nowMs, wallMs, window }: SectionTimes): UsageSection | undefined {
    if (nowMs - this.lastSectionMs < SECTION_INTERVAL_MS) {
      return undefined;
    }
    this.lastSectionMs = nowMs;
    this.number += 1;
    this.since ??= window;
    const changes = this.findChanges();
    const chosen = new Set(this.choose(changes, window, nowMs));
    const names = this.indices.getUnknown([...chosen].map(({ account }) => account));
    this.unanswered.set(this.number, { changes: [...chosen], names });
    const [oldest] = this.unanswered.keys();
    if (this.unanswered.size > MAXIMUM_UNANSWERED && oldest !== undefined) {
      this.unanswered.delete(oldest);
    }
    const left = changes.filter((change) => !chosen.has(change)).map((each) => each.window);
    const through = window === undefined ? undefined : (Math.min(window, ...left) as WindowNumber);
    return {
      number: this.number,
      wallMs,
      ...(this.term === undefined ? {} : { base: this.term }),
      ...(this.since === undefined ? {} : { since: this.since }),
      ...(through === undefined ? {} : { through }),
      windows: this.groupByWindow(chosen),
      names,
    };
  }

  /**
   * Processes the answer to a section. A new leader lacks what earlier ones acknowledged: returns
   * whether the next section must be sent at once, since a leader and a host are often lost together.
   */
  receive({ number, term, settled, isUnknown = false }: UsageGrant): boolean {
    const content = this.unanswered.get(number);
    if (content === undefined || term < (this.term ?? 0)) {
      return false;
    }
    this.unanswered.delete(number);
    const hasForgotten = term !== this.term || isUnknown;
    if (hasForgotten) {
      this.term = term;
      this.forgetAcknowledged();
    }
    if (!isUnknown) {
      this.acknowledge(content);
    }
    this.settle(settled);
    return hasForgotten;
  }

  private acknowledge({ changes, names }: SentContent): void {
    this.indices.acknowledge(names);
    for (const { window, account, count } of changes) {
      const state = this.windows.get(window)?.get(account);
      if (state !== undefined) {
        state.acknowledged = count;
        state.isForgotten = false;
      }
    }
  }

  private forgetAcknowledged(): void {
    this.unanswered.clear();
    this.lastSectionMs = -Infinity;
    this.indices.forget();
    for (const accounts of this.windows.values()) {
      for (const state of accounts.values()) {
        state.isForgotten ||= state.acknowledged > 0;
        state.acknowledged = 0;
      }
    }
  }

  private settle(settled: WindowNumber | undefined): void {
    if (settled === undefined || settled <= (this.settled ?? -1)) {
      return;
    }
    this.settled = settled;
    for (const window of this.windows.keys()) {
      if (window <= settled) {
        this.windows.delete(window);
      }
    }
  }

  private isSettled(window: WindowNumber): boolean {
    return this.settled !== undefined && window <= this.settled;
  }

  private createWindow(window: WindowNumber): Map<AccountId, AccountState> {
    const accounts = new Map<AccountId, AccountState>();
    this.windows.set(window, accounts);
    const oldest = Math.min(...this.windows.keys()) as WindowNumber;
    if (this.windows.size > MAXIMUM_WINDOWS) {
      for (const { count } of this.windows.get(oldest)?.values() ?? []) {
        this.droppedCount += count;
      }
      this.windows.delete(oldest);
    }
    return accounts;
  }

  private findChanges(): Change[] {
    const changes: Change[] = [];
    for (const [window, accounts] of this.windows) {
      for (const [account, { count, acknowledged, isForgotten }] of accounts) {
        if (count !== acknowledged) {
          const difference = Math.abs(count - acknowledged);
          changes.push({ window, account, count, difference, isForgotten });
        }
      }
    }
    return changes;
  }

  /**
   * Chooses the changes to send: those of ended windows, which wait to be closed, and then the
   * largest ones, so that the loss of this host loses little. What a new leader lacks and what a
   * stopping host still has are sent at once, too.
   */
  private choose(changes: Change[], window: WindowNumber | undefined, nowMs: number): Change[] {
    const present = window ?? Infinity;
    changes.sort(
      (first, second) => first.window - second.window || second.difference - first.difference,
    );
    return changes.filter((change) => {
      const isUrgent = this.isFinishing || change.isForgotten || change.window < present;
      const bytes = this.measure(change.account);
      return isUrgent ? this.budget.tryTakeUrgent(bytes, nowMs) : this.budget.tryTake(bytes, nowMs);
    });
  }

  /** Approximate bytes of an account's count. */
  private measure(account: AccountId): number {
    return COUNT_BYTES + (this.indices.isKnown(account) ? 0 : account.length + NAME_BYTES);
  }

  private groupByWindow(changes: Iterable<Change>): IndexedCounts[] {
    const windows = new Map<WindowNumber, number[]>();
    for (const { window, account, count } of changes) {
      const counts = windows.get(window) ?? [];
      counts.push(this.indices.get(account), count);
      windows.set(window, counts);
    }
    return [...windows].map(([window, counts]) => ({ window, counts }));
  }
}
