import type { AccountId, WindowNumber } from '../../common/ids/index.js';

/** Number of requests of one client account that began to run on instances in a window. */
export type AccountCount = readonly [account: AccountId, count: number];

/** Counts of one window by client account. */
export interface WindowCounts {
  readonly window: WindowNumber;
  readonly counts: readonly AccountCount[];
}

/** Sum of the counts of all accounts. */
export function countRequests({ counts }: WindowCounts): number {
  return counts.reduce((sum, [, count]) => sum + count, 0);
}
