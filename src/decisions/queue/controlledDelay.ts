import type { AccountId } from '../../common/ids/index.js';
import { DeficitRoundRobin } from './deficitRoundRobin.js';
import type { QueuedItem } from './queuedItem.js';

const TARGET_MS = 50;
const INTERVAL_MS = 200;

/**
 * Deficit round robin with an adaptive limit on the wait: while an account's queue has not been
 * empty for an interval, its requests that waited longer than the target are refused.
 */
export class ControlledDelay extends DeficitRoundRobin {
  private readonly waiting = new Map<AccountId, number>();
  private readonly lastEmptyMs = new Map<AccountId, number>();

  override add(item: QueuedItem): void {
    const { account } = item.item;
    const count = this.waiting.get(account) ?? 0;
    if (count === 0) {
      this.lastEmptyMs.set(account, item.queuedMs);
    }
    this.waiting.set(account, count + 1);
    super.add(item);
  }

  override addFirst(item: QueuedItem): void {
    this.waiting.set(item.item.account, (this.waiting.get(item.item.account) ?? 0) + 1);
    super.addFirst(item);
  }

  override next(): QueuedItem | undefined {
    const item = super.next();
    this.decrementWaiting(item);
    return item;
  }

  override handleRemoval(item: QueuedItem): void {
    this.decrementWaiting(item);
    super.handleRemoval(item);
  }

  override isOverdue(item: QueuedItem, nowMs: number): boolean {
    if (super.isOverdue(item, nowMs)) {
      return true;
    }
    const busyMs = nowMs - (this.lastEmptyMs.get(item.item.account) ?? nowMs);
    return busyMs > INTERVAL_MS && nowMs - item.queuedMs > TARGET_MS;
  }

  private decrementWaiting(item: QueuedItem | undefined): void {
    if (item !== undefined) {
      const { account } = item.item;
      this.waiting.set(account, Math.max(0, (this.waiting.get(account) ?? 0) - 1));
    }
  }
}
