/**
 * Number of classes for which waits are reported: the priorities 0, 1 and 2, and one for all less
 * urgent ones and for requests without a priority.
 */
export const PRIORITY_CLASSES = 4;

/** Priorities of the classes, as a queue takes them. */
export const CLASS_PRIORITIES: readonly (number | undefined)[] = [0, 1, 2, undefined];

/**
 * Returns the class whose reported wait applies to a priority. A priority that is not reported gets
 * the last reported one before it, whose wait is not longer than its own.
 */
export function getPriorityClass(priority: number | undefined): number {
  return priority === undefined
    ? PRIORITY_CLASSES - 1
    : Math.min(Math.max(0, priority), PRIORITY_CLASSES - 2);
}
