const RESERVED_SERVICE_TIMES = 3;
const RESERVED_SHARE = 0.1;
const MAXIMUM_RESERVED_SHARE = 0.5;

/** Returns the latest time at which a start leaves time to finish by the deadline. */
export function getLatestStart(deadlineMs: number, estimateMs: number, nowMs: number): number {
  const leftMs = deadlineMs - nowMs;
  const reserveMs = Math.min(
    estimateMs * RESERVED_SERVICE_TIMES + leftMs * RESERVED_SHARE,
    leftMs * MAXIMUM_RESERVED_SHARE,
  );
  return deadlineMs - reserveMs;
}
