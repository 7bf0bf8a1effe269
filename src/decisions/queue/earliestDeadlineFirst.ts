import { BinaryHeap } from './binaryHeap.js';
import { type QueuedItem, QueuedState } from './queuedItem.js';
import { TotalBacklog } from './totalBacklog.js';

/** Starts the request with the earliest latest start time first, regardless of its account. */
export class EarliestDeadlineFirst extends TotalBacklog {
  private readonly heap = new BinaryHeap<QueuedItem>((left, right) =>
    left.latestStartMs === right.latestStartMs
      ? left.order < right.order
      : left.latestStartMs < right.latestStartMs,
  );

  override add(item: QueuedItem): void {
    this.heap.push(item);
    this.addToBacklog(item);
  }

  override addFirst(item: QueuedItem): void {
    this.add(item);
  }

  override next(): QueuedItem | undefined {
    for (let item = this.heap.pop(); item !== undefined; item = this.heap.pop()) {
      if (item.state === QueuedState.Waiting) {
        this.handleRemoval(item);
        return item;
      }
    }
    return undefined;
  }
}
