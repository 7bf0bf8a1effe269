import { PRIORITY_CLASSES } from './priorityClass.js';

/** Longest wait that is reported; longer ones are reported as this one. */
const MAXIMUM_WAIT_MS = 60_000;

/**
 * Load that a holder or reader reports with an answer: the expected waits of a new request in
 * milliseconds, first of one that needs the primary, then of a read that replicas may run. A list
 * contains the waits by priority class, a single one if all are equal, or none if they are unknown.
 */
export type LoadReport = readonly [primary: readonly number[], reads: readonly number[]];

/** Creates a report from the waits by priority class. */
export function createLoadReport(
  primary: readonly number[] | undefined,
  reads: readonly number[] | undefined,
): LoadReport {
  return [compress(primary), compress(reads)];
}

/** Whether a report contains no wait. */
export function isWithoutLoad(report: LoadReport): boolean {
  return report.every((waits) => waits.every((waitMs) => waitMs === 0));
}

/** Checks a report that was received; returns undefined if it is invalid. */
export function tryReadLoadReport(content: unknown): LoadReport | undefined {
  if (!Array.isArray(content) || content.length !== 2) {
    return undefined;
  }
  const [primary, reads] = content as readonly unknown[];
  return isWaits(primary) && isWaits(reads) ? [primary, reads] : undefined;
}

function compress(waits: readonly number[] | undefined): readonly number[] {
  const rounded = (waits ?? []).map((waitMs) =>
    Math.min(MAXIMUM_WAIT_MS, Math.max(0, Math.round(waitMs))),
  );
  const [first] = rounded;
  return first !== undefined && rounded.every((waitMs) => waitMs === first) ? [first] : rounded;
}

function isWaits(content: unknown): content is readonly number[] {
  return (
    Array.isArray(content) &&
    [0, 1, PRIORITY_CLASSES].includes(content.length) &&
    content.every(
      (waitMs) =>
        Number.isSafeInteger(waitMs) && (waitMs as number) >= 0 && waitMs <= MAXIMUM_WAIT_MS,
    )
  );
}
