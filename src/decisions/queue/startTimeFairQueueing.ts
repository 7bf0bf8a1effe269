import type { AccountId } from '../../common/ids/index.js';
import { AccountBacklog } from './accountBacklog.js';
import { BinaryHeap } from './binaryHeap.js';
import { getFluidWaitMs } from './fluidWait.js';
import type { QueuedItem } from './queuedItem.js';
import { QueuePolicy } from './queuePolicy.js';

/** Work that an account may run ahead of its share, so that infrequent requests start sooner. */
const ALLOWANCE_MS = 120;

class TaggedAccount extends AccountBacklog {
  /** Virtual time up to which the account has been charged. */
  finishTag = 0;
  /** Virtual time by which the heap orders the account. */
  startTag = 0;
  isActive = false;

  /** Returns the virtual start time of the account's next request. */
  getNextTag(): number {
    return this.finishTag - ALLOWANCE_MS / this.weight;
  }
}

/**
 * Start-time fair queueing over client accounts: the account with the smallest virtual start time
 * is next; each start advances that time by cost divided by weight.
 */
export class StartTimeFairQueueing extends QueuePolicy {
  private readonly accounts = new Map<AccountId, TaggedAccount>();
  private readonly active = new Set<TaggedAccount>();
  private readonly heap = new BinaryHeap<TaggedAccount>(
    (left, right) => left.startTag < right.startTag,
  );
  private virtualTime = 0;

  override add(item: QueuedItem): void {
    const account = this.getAccount(item);
    account.add(item);
    this.activate(account);
  }

  override addFirst(item: QueuedItem): void {
    const account = this.getAccount(item);
    account.addFirst(item);
    this.activate(account);
  }

  override next(): QueuedItem | undefined {
    for (let account = this.heap.pop(); account !== undefined; account = this.heap.pop()) {
      if (account.peek() === undefined) {
        this.deactivate(account);
      } else if (account.getNextTag() > account.startTag) {
        this.push(account);
      } else {
        return this.take(account);
      }
    }
    return undefined;
  }

  override charge(item: QueuedItem, measuredMs: number): void {
    const account = this.accounts.get(item.item.account);
    if (account !== undefined) {
      account.finishTag += (measuredMs - item.estimateMs) / account.weight;
    }
  }

  override getWaitMs(accountId: AccountId, weight: number, slots: number): number {
    const account = this.accounts.get(accountId);
    const lead = account === undefined ? 0 : this.virtualTime - account.getNextTag();
    return getFluidWaitMs(this.active, account, weight, slots, Math.max(0, lead * weight));
  }

  override getExpectedWaitMs(_rank: number, slots: number): number {
    return getFluidWaitMs(this.active, undefined, 1, slots);
  }

  override getDisplaced(): Iterable<QueuedItem> {
    return [];
  }

  override handleRemoval(item: QueuedItem): void {
    this.accounts.get(item.item.account)?.handleRemoval(item);
  }

  private take(account: TaggedAccount): QueuedItem | undefined {
    const item = account.shift();
    this.virtualTime = Math.max(this.virtualTime, account.startTag);
    if (item !== undefined) {
      account.finishTag += item.estimateMs / account.weight;
    }
    this.push(account);
    return item;
  }

  private push(account: TaggedAccount): void {
    account.startTag = account.getNextTag();
    this.heap.push(account);
  }

  private activate(account: TaggedAccount): void {
    if (!account.isActive) {
      account.isActive = true;
      this.active.add(account);
      account.finishTag = Math.max(this.virtualTime, account.finishTag);
      this.push(account);
    }
  }

  private deactivate(account: TaggedAccount): void {
    account.isActive = false;
    account.backlogMs = 0;
    this.active.delete(account);
  }

  private getAccount(item: QueuedItem): TaggedAccount {
    const id = item.item.account;
    let account = this.accounts.get(id);
    if (account === undefined) {
      account = new TaggedAccount(id);
      this.accounts.set(id, account);
    }
    account.weight = item.item.weight;
    return account;
  }
}
