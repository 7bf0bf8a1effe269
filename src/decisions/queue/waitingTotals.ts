import { getPriorityRank } from '../../common/priority.js';
import type { QueuedItem } from './queuedItem.js';
import { RankSums } from './rankSums.js';

/** Number and estimated cost of the requests that wait for a slot, held back or not. */
export class WaitingTotals {
  private readonly counts = new RankSums();
  private sumMs = 0;

  get count(): number {
    return this.counts.total;
  }

  /** Estimated cost of all waiting requests, in milliseconds. */
  get costMs(): number {
    return this.sumMs;
  }

  /** Mean estimated cost of a waiting request, in milliseconds; 0 if none waits. */
  get meanCostMs(): number {
    return this.count === 0 ? 0 : this.sumMs / this.count;
  }

  /** Rank of the most urgent waiting request; infinite if none waits. */
  get mostUrgentRank(): number {
    return this.counts.getFirstRank();
  }

  add({ item, estimateMs }: QueuedItem): void {
    this.counts.add(getPriorityRank(item.priority), 1);
    this.sumMs += estimateMs;
  }

  subtract({ item, estimateMs }: QueuedItem): void {
    this.counts.add(getPriorityRank(item.priority), -1);
    // The sum is set anew when nothing waits, since rounding errors add up.
    this.sumMs = this.count === 0 ? 0 : this.sumMs - estimateMs;
  }
}
