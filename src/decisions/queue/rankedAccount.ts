import type { AccountId } from '../../common/ids/index.js';
import { PRIORITY_RANKS } from '../../common/priority.js';
import type { QueuedItem } from './queuedItem.js';
import { RankedBacklog } from './rankedBacklog.js';

/** Work that an account may run ahead of its share, so that infrequent requests start sooner. */
const ALLOWANCE_MS = 120;

/**
 * Share of an account's service that its less urgent requests get while more urgent ones wait, so
 * that these do not delay them without end.
 */
const AGED_SHARE = 0.1;

/** One account in the queue, with the charges that its requests of all ranks share. */
export class RankedAccount {
  /** Virtual time up to which the account has been charged. */
  finishTag = 0;
  weight = 1;
  /** Place among the accounts with waiting requests; undefined without any. */
  place: number | undefined;
  /** When the account last had a request queued. */
  lastQueuedMs = 0;
  /** Number of ranks under which the account is in the order. */
  activeRanks = 0;
  /** By rank, the most urgent first. */
  private readonly backlogs: RankedBacklog[] = [];

  /** Cost of the waiting requests that are at least as urgent as each rank, in milliseconds. */
  private readonly upToMs = new Array<number>(PRIORITY_RANKS).fill(0);

  constructor(readonly id: AccountId) {}

  /** Virtual start time of the account's next request. */
  getNextTag(): number {
    return this.finishTag - ALLOWANCE_MS / this.weight;
  }

  /** Returns the backlog of a rank; creates it if absent. */
  getBacklog(rank: number): RankedBacklog {
    const known = this.findBacklog(rank);
    if (known !== undefined) {
      return known;
    }
    const created = new RankedBacklog(this.id, this, rank);
    const index = this.backlogs.findIndex((each) => each.rank > rank);
    this.backlogs.splice(index < 0 ? this.backlogs.length : index, 0, created);
    return created;
  }

  /** Returns the backlog of a rank if the account has had requests of it. */
  findBacklog(rank: number): RankedBacklog | undefined {
    return this.backlogs.find((each) => each.rank === rank);
  }

  /** Cost of the waiting requests that are at least as urgent as the rank, in milliseconds. */
  getBacklogMs(rank: number): number {
    return this.upToMs[rank] ?? 0;
  }

  /** Records a changed cost of the waiting requests of a rank. */
  recordBacklog(rank: number, changeMs: number): void {
    for (let index = rank; index < PRIORITY_RANKS; index += 1) {
      this.upToMs[index] = Math.max(0, (this.upToMs[index] ?? 0) + changeMs);
    }
  }

  /** Sets the cost to 0 once nothing waits, since rounding errors add up. */
  clearBacklog(): void {
    this.upToMs.fill(0);
  }

  /** Cost of the account's requests that go before a waiting one, in milliseconds. */
  getBeforeMs(item: QueuedItem): number {
    const beforeMs = this.findBacklog(item.rank)?.getBeforeMs(item) ?? 0;
    return this.getBacklogMs(item.rank - 1) + beforeMs;
  }

  /**
   * Removes and returns the request to start next: the next statement of an open transaction, else
   * the most urgent one, unless a less urgent one has been passed over for its share.
   */
  shift(): QueuedItem | undefined {
    const chosen = this.choose();
    const item = chosen?.shift();
    if (chosen !== undefined && item !== undefined) {
      chosen.passedMs = Math.max(0, chosen.passedMs - item.estimateMs / AGED_SHARE);
      this.recordPassed(chosen, item.estimateMs);
    }
    return item;
  }

  /** Returns a request that `shift` returned and that was not started to the front of its rank. */
  restore(item: QueuedItem): void {
    const backlog = this.getBacklog(item.rank);
    backlog.addFirst(item);
    this.recordPassed(backlog, -item.estimateMs);
  }

  private choose(): RankedBacklog | undefined {
    let first: RankedBacklog | undefined;
    for (const backlog of this.backlogs) {
      const item = backlog.peek();
      if (item === undefined) {
        backlog.passedMs = 0;
      } else if (first === undefined) {
        first = backlog;
        if (item.openedMs !== undefined) {
          return backlog;
        }
      } else if (backlog.passedMs * AGED_SHARE >= item.estimateMs) {
        return backlog;
      }
    }
    return first;
  }

  private recordPassed(started: RankedBacklog, costMs: number): void {
    for (const backlog of this.backlogs) {
      if (backlog.rank > started.rank && backlog.backlogMs > 0) {
        backlog.passedMs = Math.max(0, backlog.passedMs + costMs);
      }
    }
  }
}
