import type { AccountId } from '../../common/ids/index.js';
import { Fifo } from './fifo.js';
import { type QueuedItem, QueuedState } from './queuedItem.js';

/** Waiting items of one account, in queue order. */
export class AccountBacklog {
  private readonly items = new Fifo<QueuedItem>();
  /** Estimated cost of all waiting items in milliseconds. */
  backlogMs = 0;
  weight = 1;

  constructor(readonly account: AccountId) {}

  add(item: QueuedItem): void {
    this.items.push(item);
    this.backlogMs += item.estimateMs;
    this.weight = item.item.weight;
  }

  addFirst(item: QueuedItem): void {
    this.items.unshift(item);
    this.backlogMs += item.estimateMs;
  }

  /** Returns the first item that is still waiting. */
  peek(): QueuedItem | undefined {
    for (let first = this.items.peek(); first !== undefined; first = this.items.peek()) {
      if (first.state === QueuedState.Waiting) {
        return first;
      }
      this.items.shift();
    }
    return undefined;
  }

  /** Removes and returns the first item that is still waiting. */
  shift(): QueuedItem | undefined {
    const first = this.peek();
    if (first !== undefined) {
      this.items.shift();
      this.handleRemoval(first);
    }
    return first;
  }

  /** Subtracts the cost of an item that is no longer waiting. */
  handleRemoval(item: QueuedItem): void {
    this.backlogMs = Math.max(0, this.backlogMs - item.estimateMs);
  }
}
