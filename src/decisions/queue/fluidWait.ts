import type { AccountBacklog } from './accountBacklog.js';

/**
 * The time, in milliseconds, until an account's present backlog has had its turn when the slots
 * are divided by weight among the present backlogs.
 */
export function getFluidWaitMs(
  active: Iterable<AccountBacklog>,
  account: AccountBacklog | undefined,
  weight: number,
  slots: number,
): number {
  const ownMs = account?.backlogMs ?? 0;
  let aheadMs = ownMs;
  for (const other of active) {
    if (other !== account) {
      aheadMs += Math.min(other.backlogMs, (ownMs * other.weight) / weight);
    }
  }
  return aheadMs / Math.max(1, slots);
}
