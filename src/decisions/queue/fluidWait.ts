import type { AccountBacklog } from './accountBacklog.js';

/**
 * Returns the time, in milliseconds, until an account's current backlog has been served if the
 * slots are shared by weight among the current backlogs. Work within `creditMs` is served before
 * the others'.
 */
export function getFluidWaitMs(
  active: Iterable<AccountBacklog>,
  account: AccountBacklog | undefined,
  weight: number,
  slots: number,
  creditMs = 0,
): number {
  const ownMs = account?.backlogMs ?? 0;
  const sharedMs = Math.max(0, ownMs - creditMs);
  let aheadMs = ownMs;
  if (sharedMs === 0) {
    return aheadMs / Math.max(1, slots);
  }
  for (const other of active) {
    if (other !== account) {
      aheadMs += Math.min(other.backlogMs, (sharedMs * other.weight) / weight);
    }
  }
  return aheadMs / Math.max(1, slots);
}
