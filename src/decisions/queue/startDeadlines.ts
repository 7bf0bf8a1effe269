import { BinaryHeap } from './binaryHeap.js';
import { isWaiting, type QueuedItem } from './queuedItem.js';

interface StartDeadline {
  readonly item: QueuedItem;
  readonly atMs: number;
}

/** Finds waiting items whose latest start time has passed. */
export class StartDeadlines {
  private readonly heap = new BinaryHeap<StartDeadline>(isBefore);

  /** Adds an item that has started to wait. */
  add(item: QueuedItem): void {
    this.heap.push({ item, atMs: item.latestStartMs });
  }

  /** Removes and yields the overdue items. */
  *takeOverdue(nowMs: number): Generator<QueuedItem> {
    for (let next = this.heap.peek(); next !== undefined; next = this.heap.peek()) {
      const isCurrent = isWaiting(next.item) && next.item.latestStartMs === next.atMs;
      if (isCurrent && next.atMs > nowMs) {
        return;
      }
      this.heap.pop();
      if (isCurrent) {
        yield next.item;
      }
    }
  }
}

function isBefore(left: StartDeadline, right: StartDeadline): boolean {
  return left.atMs === right.atMs ? left.item.order < right.item.order : left.atMs < right.atMs;
}
