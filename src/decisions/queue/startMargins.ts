import { PRIORITY_RANKS } from '../../common/priority.js';
import { BinaryHeap } from './binaryHeap.js';
import { type QueuedItem, QueuedState } from './queuedItem.js';

/** Smallest delay after which a request is checked again, in milliseconds. */
const MINIMUM_MARGIN_MS = 5;
/** Number of entries of a rank that may be out of date before they are removed. */
const MAXIMUM_STALE = 1024;

interface StartMargin {
  readonly item: QueuedItem;
  /** Delay of the rank at which the request may start too late. */
  readonly limitMs: number;
}

/** Delay that more urgent arrivals have added for one rank, and the requests it may make late. */
interface RankMargins {
  delayMs: number;
  /** Number of waiting requests when out of date entries were last removed. */
  waiting: number;
  heap: BinaryHeap<StartMargin>;
}

/**
 * Finds waiting requests that more urgent arrivals have made too late to start in time. Each request
 * has a margin from its last estimate; it is estimated again once the work of more urgent arrivals
 * may have used it up.
 */
export class StartMargins {
  private readonly ranks: RankMargins[] = Array.from({ length: PRIORITY_RANKS }, () => ({
    delayMs: 0,
    waiting: 0,
    heap: new BinaryHeap(isBefore),
  }));

  /** Adds a request that has begun to wait and may be delayed by `marginMs`. */
  add(item: QueuedItem, marginMs: number): void {
    const margins = this.ranks[item.rank];
    if (margins !== undefined) {
      margins.heap.push({ item, limitMs: margins.delayMs + Math.max(MINIMUM_MARGIN_MS, marginMs) });
      this.removeStale(margins);
    }
  }

  /**
   * Adds the work of an arrival to the delay of all less urgent requests; yields those that can no
   * longer start in time. `tryGetWaitMs` estimates the wait of a request from now on, or returns
   * undefined once no more requests are to be checked.
   */
  *takeDisplaced(
    arrival: QueuedItem,
    slots: number,
    nowMs: number,
    tryGetWaitMs: (item: QueuedItem) => number | undefined,
  ): Generator<QueuedItem> {
    const lessUrgent = this.ranks.slice(arrival.rank + 1).reverse();
    for (const margins of lessUrgent) {
      margins.delayMs += arrival.estimateMs / Math.max(1, slots);
    }
    for (const margins of lessUrgent) {
      for (let next = margins.heap.peek(); next !== undefined; next = margins.heap.peek()) {
        if (next.limitMs > margins.delayMs) {
          break;
        }
        if (isCurrent(next)) {
          const waitMs = tryGetWaitMs(next.item);
          if (waitMs === undefined) {
            return;
          }
          margins.heap.pop();
          const marginMs = next.item.latestStartMs - nowMs - waitMs;
          if (marginMs < 0) {
            yield next.item;
          } else {
            this.add(next.item, marginMs);
          }
        } else {
          margins.heap.pop();
        }
      }
    }
  }

  private removeStale(margins: RankMargins): void {
    if (margins.heap.size < 2 * margins.waiting + MAXIMUM_STALE) {
      return;
    }
    const entries = margins.heap;
    margins.heap = new BinaryHeap(isBefore);
    for (let next = entries.pop(); next !== undefined; next = entries.pop()) {
      if (isCurrent(next)) {
        margins.heap.push(next);
      }
    }
    margins.waiting = margins.heap.size;
  }
}

/** Whether the entry's request still waits to be begun; statements of open transactions stay. */
function isCurrent({ item }: StartMargin): boolean {
  return item.state === QueuedState.Waiting && item.openedMs === undefined;
}

function isBefore(left: StartMargin, right: StartMargin): boolean {
  return left.limitMs < right.limitMs;
}
