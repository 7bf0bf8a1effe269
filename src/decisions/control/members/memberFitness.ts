/**
 * Time for which a full disk may refuse a member's writes before the host stops asking to be a member
 * and to lead, in milliseconds. Longer than what passes by itself: a change of members costs more.
 */
export const FULL_DISK_MEMBER_MS = 10_000;

/** Whether a host can keep the quorum's log; `refusedMs`: for how long its disk has refused writes. */
export function canKeepLog(refusedMs: number | undefined): boolean {
  return refusedMs === undefined || refusedMs < FULL_DISK_MEMBER_MS;
}
