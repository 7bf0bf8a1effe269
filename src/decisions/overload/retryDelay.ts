import type { RandomSource } from '../../common/random.js';
import { getPriorityClass } from './priorityClass.js';

/** Shortest window over which returns are spread, in milliseconds. */
const MINIMUM_WINDOW_MS = 50;
/** Longest retry delay; a caller that waits longer for a busy group has mostly given up. */
const MAXIMUM_DELAY_MS = 5000;
/** Share of the longest delay over which delays beyond it are spread. */
const LIMIT_SPREAD = 0.25;
/**
 * Share of the backlog's time over which the returns of the most urgent class are spread, and by
 * which the window of each less urgent class begins later and is longer.
 */
const CLASS_SHARE = 0.25;

/** Backlog that a refused request found. */
export interface RefusedBacklog {
  /** Expected wait of the request in milliseconds. */
  readonly waitMs: number;
  /** Time by which the wait is too long. */
  readonly excessMs: number;
  readonly priority: number | undefined;
}

/**
 * Returns the delay after which a refused request should be sent again. Room appears as the backlog
 * is served, so returns are spread at random over the time that this takes, urgent requests first.
 */
export function getRetryDelayMs(backlog: RefusedBacklog, random: RandomSource): number {
  const shareMs = Math.max(MINIMUM_WINDOW_MS, backlog.waitMs) * CLASS_SHARE;
  const priorityClass = getPriorityClass(backlog.priority);
  const windowMs = shareMs * (1 + priorityClass);
  const delayMs =
    Math.max(0, backlog.excessMs) + shareMs * priorityClass + random.next() * windowMs;
  // A backlog beyond the limit must not bring all returns to the same moment.
  const limitMs = MAXIMUM_DELAY_MS * (1 - LIMIT_SPREAD * random.next());
  return Math.max(1, Math.ceil(Math.min(delayMs, limitMs)));
}
