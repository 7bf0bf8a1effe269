import type { AccountId } from '../../common/ids/index.js';
import type { QueuedItem } from './queuedItem.js';

/** Order in which waiting requests get slots. Skips items that are no longer waiting. */
export abstract class QueuePolicy {
  /** Adds a waiting item after the other items of its account. */
  abstract add(item: QueuedItem): void;
  /** Adds a waiting item before the other items of its account. */
  abstract addFirst(item: QueuedItem): void;
  /** Removes and returns the item to start next. */
  abstract next(nowMs: number): QueuedItem | undefined;
  /** Corrects the cost charged to the account once the measured cost is known. */
  abstract charge(item: QueuedItem, measuredMs: number): void;
  /**
   * Returns the estimated wait of another request of the account, in milliseconds. `rank` is that of
   * its priority; policies without classes ignore it.
   */
  abstract getWaitMs(account: AccountId, weight: number, slots: number, rank: number): number;
  /**
   * Returns the estimated wait of another request of an account in the middle of those that lately
   * had requests, in milliseconds.
   */
  abstract getExpectedWaitMs(rank: number, slots: number, nowMs: number): number;

  /**
   * Returns the waiting requests that can no longer start in time because a more urgent one, the
   * arrival, was added before them.
   */
  abstract getDisplaced(arrival: QueuedItem, slots: number, nowMs: number): Iterable<QueuedItem>;
  /** Handles the removal of an item that was not started. */
  abstract handleRemoval(item: QueuedItem): void;

  /** Whether an item that would start now has waited too long to be run. */
  isOverdue(item: QueuedItem, nowMs: number): boolean {
    return item.latestStartMs < nowMs;
  }
}
