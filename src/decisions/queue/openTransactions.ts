import { Fifo } from './fifo.js';
import { type QueuedItem, QueuedState } from './queuedItem.js';

/** Open transactions, in the order in which they were opened. */
export class OpenTransactions {
  private readonly items = new Fifo<QueuedItem>();

  /** `limitMs` is the longest time a transaction may be open; a change applies to open ones too. */
  constructor(public limitMs: number) {}

  /** Adds a transaction that was opened now. */
  add(item: QueuedItem): void {
    this.items.push(item);
  }

  /** Removes and yields the transactions that have been open for `limitMs` or longer. */
  *takeOverdue(nowMs: number): Generator<QueuedItem> {
    for (let first = this.items.peek(); first !== undefined; first = this.items.peek()) {
      const isOpen = first.state !== QueuedState.Done;
      if (isOpen && nowMs - (first.openedMs ?? nowMs) < this.limitMs) {
        return;
      }
      this.items.shift();
      if (isOpen) {
        yield first;
      }
    }
  }
}
