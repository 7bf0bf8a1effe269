import type { RandomSource } from '../../common/random.js';

const GROWTH = 2;
/** Longest wait between two attempts of one request inside the system, in milliseconds. */
const MAXIMUM_BACKOFF_MS = 200;
const JITTER = 0.5;

/**
 * Returns the wait in milliseconds before a request is tried again inside the system after
 * `attempts` attempts that did not run it. Without a retry budget the wait is the longest one, so
 * that retries cannot multiply load.
 */
export function getRetryBackoffMs(
  firstMs: number,
  attempts: number,
  hasBudget: boolean,
  random: RandomSource,
): number {
  const backoffMs = hasBudget
    ? Math.min(MAXIMUM_BACKOFF_MS, firstMs * GROWTH ** Math.max(0, attempts - 1))
    : MAXIMUM_BACKOFF_MS;
  return backoffMs * (1 - JITTER * random.next());
}
