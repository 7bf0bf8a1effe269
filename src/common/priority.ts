/** Least urgent priority that a route may have; bounds the number of classes in every queue. */
export const MAXIMUM_PRIORITY = 9;

/** Number of ranks: one for each priority and the last for requests without one. */
export const PRIORITY_RANKS = MAXIMUM_PRIORITY + 2;

/**
 * Returns the rank of a priority from 0, the most urgent. A request without a priority comes after
 * all others; a value above the maximum, from a host of a later version, counts as the maximum.
 */
export function getPriorityRank(priority: number | undefined): number {
  return priority === undefined ? MAXIMUM_PRIORITY + 1 : Math.min(priority, MAXIMUM_PRIORITY);
}
