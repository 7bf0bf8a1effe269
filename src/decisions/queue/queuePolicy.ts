import type { AccountId } from '../../common/ids/index.js';
import type { QueuedItem } from './queuedItem.js';

/** The order in which waiting requests get slots. Skips items that no longer wait. */
export abstract class QueuePolicy {
  /** Adds a waiting item behind those of its account. */
  abstract add(item: QueuedItem): void;
  /** Adds a waiting item before those of its account. */
  abstract addFirst(item: QueuedItem): void;
  /** Removes and returns the item to start next. */
  abstract next(nowMs: number): QueuedItem | undefined;
  /** Corrects the account's bill when the measured cost is known. */
  abstract charge(item: QueuedItem, measuredMs: number): void;
  /** Estimated wait of another request of the account for its turn, in milliseconds. */
  abstract getWaitMs(account: AccountId, weight: number, slots: number): number;
  /** Called when an item left the queue without a start. */
  abstract handleRemoval(item: QueuedItem): void;

  /** Whether an item that is to start now has waited too long to be run. */
  isOverdue(item: QueuedItem, nowMs: number): boolean {
    return item.latestStartMs < nowMs;
  }
}
