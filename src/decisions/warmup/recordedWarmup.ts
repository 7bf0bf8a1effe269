/** Step to which the recorded time is rounded up. */
const STEP_MS = 1000;

/** What decides about the warm-up time in an instance's record. */
export interface WarmupFacts {
  /** Time until the instance is warm by its latest announcement; absent or 0 when it is warm. */
  readonly leftMs: number | undefined;
  /** Warm-up time in the record of the same incarnation. */
  readonly recordedMs: number | undefined;
  /** Rate that the group asks for while an instance is cold; absent or 0 for none. */
  readonly startsPerSecond: number | undefined;
  /** Longest warm-up time of the group's instances; absent if not known. */
  readonly maximumMs: number | undefined;
}

/**
 * Returns the warm-up time to record for an instance, or undefined once it is warm. The time is that
 * of the first announcement of the cold period and stays while the announced one counts down, so
 * that a cold period changes the record twice and not with each announcement.
 */
export function getRecordedWarmup(facts: WarmupFacts): number | undefined {
  const { leftMs = 0, recordedMs = 0, startsPerSecond = 0, maximumMs = Infinity } = facts;
  if (startsPerSecond <= 0 || leftMs <= 0) {
    return undefined;
  }
  const boundedMs = Math.ceil(Math.min(leftMs, maximumMs) / STEP_MS) * STEP_MS;
  return boundedMs <= recordedMs ? recordedMs : boundedMs;
}
