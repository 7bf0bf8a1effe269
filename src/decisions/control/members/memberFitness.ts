/**
 * Time in milliseconds for which a full disk may refuse a member's writes before the host stops
 * requesting membership and leadership. Exceeds the duration of transient failures, since a change
 * of members costs more than waiting for them to pass.
 */
export const FULL_DISK_GRACE_MS = 10_000;

/**
 * Whether a host can store the quorum's log; `refusedMs` is the time for which its disk has refused
 * writes.
 */
export function canKeepLog(refusedMs: number | undefined): boolean {
  return refusedMs === undefined || refusedMs < FULL_DISK_GRACE_MS;
}
