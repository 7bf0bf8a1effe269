import { PRIORITY_RANKS } from '../../common/priority.js';

/** Sums of whole numbers by rank of priority, such as waiting requests. */
export class RankSums {
  private readonly sums = new Array<number>(PRIORITY_RANKS).fill(0);
  private sum = 0;

  /** Sum over all ranks. */
  get total(): number {
    return this.sum;
  }

  /** Adds to the sum of a rank. */
  add(rank: number, change: number): void {
    this.sums[rank] = (this.sums[rank] ?? 0) + change;
    this.sum += change;
  }

  /** Returns the most urgent rank with a sum above 0; infinite if there is none. */
  getFirstRank(): number {
    const rank = this.sums.findIndex((sum) => sum > 0);
    return rank < 0 ? Infinity : rank;
  }

  /** Returns the sum over the ranks that are at least as urgent as the given one. */
  getUpTo(rank: number): number {
    let sum = 0;
    for (let index = 0; index <= rank; index += 1) {
      sum += this.sums[index] ?? 0;
    }
    return sum;
  }
}
