import { PRIORITY_RANKS } from '../../common/priority.js';
import type { RankedAccount } from './rankedAccount.js';

/** Number of unused places that are kept before the lists are compacted. */
const MAXIMUM_UNUSED = 32;

/**
 * The accounts with waiting requests, in the order in which they began to wait. Their weights and
 * backlogs are kept in lists of numbers, since estimates of waits read them for all accounts.
 */
export class ActiveAccounts {
  /** Accounts by place; a place is unused once its account has no waiting requests. */
  readonly accounts: (RankedAccount | undefined)[] = [];
  /** Weights by place; 0 at unused places. */
  readonly weights: number[] = [];
  private readonly backlogsMs: number[][] = Array.from({ length: PRIORITY_RANKS }, () => []);
  private count = 0;

  /** Number of accounts. */
  get size(): number {
    return this.count;
  }

  /** Returns, by place, the cost of the requests that are at least as urgent as a rank. */
  getBacklogs(rank: number): readonly number[] {
    return this.backlogsMs[rank] ?? [];
  }

  /** Adds an account after the others. */
  add(account: RankedAccount): void {
    account.place = this.accounts.length;
    this.accounts.push(account);
    this.count += 1;
    this.update(account);
  }

  /** Removes an account. */
  remove(account: RankedAccount): void {
    const { place } = account;
    account.place = undefined;
    this.count -= 1;
    if (place !== undefined) {
      this.accounts[place] = undefined;
      this.weights[place] = 0;
      this.backlogsMs.forEach((backlogs) => (backlogs[place] = 0));
    }
    if (this.accounts.length > 2 * this.count + MAXIMUM_UNUSED) {
      this.compact();
    }
  }

  /** Copies the weight and the backlogs of an account that is present. */
  update(account: RankedAccount): void {
    const { place, weight } = account;
    if (place === undefined) {
      return;
    }
    this.weights[place] = weight;
    for (let rank = 0; rank < PRIORITY_RANKS; rank += 1) {
      const backlogs = this.backlogsMs[rank];
      if (backlogs !== undefined) {
        backlogs[place] = account.getBacklogMs(rank);
      }
    }
  }

  private compact(): void {
    const kept = this.accounts.filter((account) => account !== undefined);
    this.accounts.length = 0;
    this.weights.length = 0;
    this.backlogsMs.forEach((backlogs) => (backlogs.length = 0));
    this.count = 0;
    kept.forEach((account) => this.add(account));
  }
}
