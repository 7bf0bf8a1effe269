import type { AccountId } from '../../common/ids/index.js';
import { PRIORITY_RANKS } from '../../common/priority.js';
import { ActiveAccounts } from './activeAccounts.js';
import { BinaryHeap } from './binaryHeap.js';
import type { QueuedItem } from './queuedItem.js';
import { QueuePolicy } from './queuePolicy.js';
import { RankedAccount } from './rankedAccount.js';
import type { RankedBacklog } from './rankedBacklog.js';
import { RankSums } from './rankSums.js';
import { getRankedWaitMs, SLACK_MS } from './rankedWait.js';
import { StartMargins } from './startMargins.js';

/** Most requests whose wait is estimated again at one arrival. */
const MAXIMUM_CHECKS = 4;
/** Number of accounts that an arrival's checks look at on average, to bound its cost. */
const ACCOUNTS_PER_CHECK = 100;

/** Time since its last request for which an account counts for the expected wait. */
const RECENT_MS = 1000;

/** The accounts that have waiting requests of one rank, by virtual start time. */
interface RankOrder {
  readonly rank: number;
  readonly heap: BinaryHeap<RankedBacklog>;
}

/**
 * Start-time fair queueing over client accounts with classes of urgency: there is one order of
 * accounts for each rank, and all requests of an account advance its one virtual time. The most
 * urgent rank goes first whose first account is within its share, that is, at most a slack ahead of
 * the account that was served least. With one rank this is `StartTimeFairQueueing`.
 */
export class PriorityFairQueueing extends QueuePolicy {
  private readonly accounts = new Map<AccountId, RankedAccount>();
  private readonly active = new ActiveAccounts();
  /** By rank, the most urgent first; only ranks that have had requests. */
  private readonly orders: RankOrder[] = [];
  private readonly heads: (RankedBacklog | undefined)[] = [];
  private readonly counts = new RankSums();
  private readonly margins = new StartMargins();
  /** Number of waiting requests that may be checked for having become too late. */
  private checkCredit = 0;
  private virtualTime = 0;

  override add(item: QueuedItem): void {
    const account = this.getAccount(item);
    const backlog = account.getBacklog(item.rank);
    backlog.add(item);
    account.lastQueuedMs = item.queuedMs;
    this.counts.add(item.rank, 1);
    this.activate(backlog);
    this.active.update(account);
  }

  override addFirst(item: QueuedItem): void {
    const account = this.getAccount(item);
    if (item.openedMs === undefined) {
      account.restore(item);
    } else {
      this.promote(item);
      account.getBacklog(item.rank).addFirst(item);
    }
    this.counts.add(item.rank, 1);
    this.activate(account.getBacklog(item.rank));
    this.active.update(account);
  }

  override next(): QueuedItem | undefined {
    const first = this.chooseHead();
    if (first === undefined) {
      return undefined;
    }
    this.getOrder(first.rank).heap.pop();
    const account = first.owner;
    const item = account.shift();
    if (item !== undefined) {
      this.counts.add(item.rank, -1);
      account.finishTag += item.estimateMs / account.weight;
    }
    this.push(first);
    this.active.update(account);
    return item;
  }

  override charge(item: QueuedItem, measuredMs: number): void {
    const account = this.accounts.get(item.item.account);
    if (account !== undefined) {
      account.finishTag += (measuredMs - item.estimateMs) / account.weight;
    }
  }

  override getWaitMs(
    accountId: AccountId,
    weight: number,
    slots: number,
    rank = PRIORITY_RANKS - 1,
  ): number {
    const account = this.accounts.get(accountId);
    const ownMs = account?.getBacklogMs(rank) ?? 0;
    const sharedMs = account === undefined ? 0 : this.getSharedMs(account, ownMs, weight);
    if (sharedMs === 0 && this.counts.getUpTo(rank - 1) === 0) {
      return ownMs / Math.max(1, slots);
    }
    const claim = { account, weight, rank, ownMs, sharedMs };
    return getRankedWaitMs(this.active, claim, this.virtualTime, slots);
  }

  override getExpectedWaitMs(rank: number, slots: number, nowMs: number): number {
    const depths: number[] = [];
    for (const account of this.accounts.values()) {
      const backlogMs = account.getBacklogMs(rank);
      if (backlogMs > 0 || nowMs - account.lastQueuedMs < RECENT_MS) {
        depths.push(this.getSharedMs(account, backlogMs, account.weight) / account.weight);
      }
    }
    depths.sort((left, right) => left - right);
    const sharedMs = depths[depths.length >> 1] ?? 0;
    const claim = { account: undefined, weight: 1, rank, ownMs: 0, sharedMs };
    return getRankedWaitMs(this.active, claim, this.virtualTime, slots);
  }

  override getDisplaced(arrival: QueuedItem, slots: number, nowMs: number): Iterable<QueuedItem> {
    const [first] = this.orders;
    if (first !== undefined && arrival.rank > first.rank) {
      this.margins.add(arrival, arrival.marginMs);
    }
    if (this.counts.getUpTo(arrival.rank) === this.counts.total) {
      return [];
    }
    this.checkCredit = Math.min(
      MAXIMUM_CHECKS,
      this.checkCredit + ACCOUNTS_PER_CHECK / this.active.size,
    );
    return this.margins.takeDisplaced(arrival, slots, nowMs, (item) => this.tryCheck(item, slots));
  }

  override handleRemoval(item: QueuedItem): void {
    const account = this.accounts.get(item.item.account);
    this.counts.add(item.rank, -1);
    if (account !== undefined) {
      account.findBacklog(item.rank)?.handleRemoval(item);
      this.active.update(account);
    }
  }

  /** Estimates the wait of a waiting request if the arrivals so far allow for the cost. */
  private tryCheck(item: QueuedItem, slots: number): number | undefined {
    if (this.checkCredit < 1) {
      return undefined;
    }
    this.checkCredit -= 1;
    return this.getItemWaitMs(item, slots);
  }

  /** Returns the estimated wait of a waiting request from now on, in milliseconds. */
  private getItemWaitMs(queued: QueuedItem, slots: number): number {
    const { rank, item } = queued;
    const account = this.accounts.get(item.account);
    if (account === undefined) {
      return 0;
    }
    const { weight } = account;
    const ownMs = account.getBeforeMs(queued);
    const sharedMs = this.getSharedMs(account, ownMs, weight);
    const claim = { account, weight, rank, ownMs, sharedMs };
    return getRankedWaitMs(this.active, claim, this.virtualTime, slots);
  }

  /** Returns how much of an account's work is served only along with that of others. */
  private getSharedMs(account: RankedAccount, ownMs: number, weight: number): number {
    const lead = this.virtualTime - account.getNextTag();
    return Math.max(0, ownMs - Math.max(0, lead * weight));
  }

  /** Returns the head to start next, and advances virtual time to the smallest virtual start. */
  private chooseHead(): RankedBacklog | undefined {
    let least: RankedBacklog | undefined;
    for (const [index, { heap }] of this.orders.entries()) {
      const head = this.getHead(heap);
      this.heads[index] = head;
      if (head !== undefined && (least === undefined || head.startTag < least.startTag)) {
        least = head;
      }
    }
    if (least === undefined) {
      return undefined;
    }
    this.virtualTime = Math.max(this.virtualTime, least.startTag);
    for (const head of this.heads) {
      if (head !== undefined && head.startTag <= this.virtualTime + SLACK_MS / head.owner.weight) {
        return head;
      }
    }
    return least;
  }

  /** Returns the first account of an order after removing idle and moving charged ones. */
  private getHead(heap: BinaryHeap<RankedBacklog>): RankedBacklog | undefined {
    for (let head = heap.peek(); head !== undefined; head = heap.peek()) {
      if (head.peek() === undefined) {
        heap.pop();
        this.deactivate(head);
      } else if (head.owner.getNextTag() > head.startTag) {
        heap.pop();
        this.push(head);
      } else {
        return head;
      }
    }
    return undefined;
  }

  /**
   * Ranks the next statement of an open transaction with the most urgent requests: ending the
   * transaction frees its connection and its locks.
   */
  private promote(item: QueuedItem): void {
    const [first] = this.orders;
    item.rank = Math.min(item.rank, first?.rank ?? PRIORITY_RANKS);
  }

  private push(backlog: RankedBacklog): void {
    backlog.startTag = backlog.owner.getNextTag();
    this.getOrder(backlog.rank).heap.push(backlog);
  }

  private activate(backlog: RankedBacklog): void {
    if (backlog.isActive) {
      return;
    }
    const account = backlog.owner;
    backlog.isActive = true;
    account.activeRanks += 1;
    if (account.activeRanks === 1) {
      this.active.add(account);
      account.finishTag = Math.max(this.virtualTime, account.finishTag);
    }
    this.push(backlog);
  }

  private deactivate(backlog: RankedBacklog): void {
    const account = backlog.owner;
    backlog.isActive = false;
    backlog.backlogMs = 0;
    account.activeRanks -= 1;
    if (account.activeRanks === 0) {
      this.active.remove(account);
      account.clearBacklog();
    }
  }

  private getOrder(rank: number): RankOrder {
    const known = this.orders.find((each) => each.rank === rank);
    if (known !== undefined) {
      return known;
    }
    const isBefore = (left: RankedBacklog, right: RankedBacklog): boolean =>
      left.startTag < right.startTag;
    const created = { rank, heap: new BinaryHeap<RankedBacklog>(isBefore) };
    this.orders.push(created);
    this.orders.sort((left, right) => left.rank - right.rank);
    return created;
  }

  private getAccount(item: QueuedItem): RankedAccount {
    const { account: id, weight } = item.item;
    let account = this.accounts.get(id);
    if (account === undefined) {
      account = new RankedAccount(id);
      this.accounts.set(id, account);
    }
    account.weight = weight;
    return account;
  }
}
