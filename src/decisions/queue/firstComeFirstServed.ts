import { Fifo } from './fifo.js';
import { type QueuedItem, QueuedState } from './queuedItem.js';
import { TotalBacklog } from './totalBacklog.js';

/** Starts requests in order of arrival, regardless of account; the baseline of comparisons. */
export class FirstComeFirstServed extends TotalBacklog {
  private readonly items = new Fifo<QueuedItem>();

  override add(item: QueuedItem): void {
    this.items.push(item);
    this.addToBacklog(item);
  }

  override addFirst(item: QueuedItem): void {
    this.items.unshift(item);
    this.addToBacklog(item);
  }

  override next(): QueuedItem | undefined {
    for (let item = this.items.shift(); item !== undefined; item = this.items.shift()) {
      if (item.state === QueuedState.Waiting) {
        this.handleRemoval(item);
        return item;
      }
    }
    return undefined;
  }
}
