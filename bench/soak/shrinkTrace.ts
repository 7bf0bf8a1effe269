import { err, ok, type Result } from 'neverthrow';
import { runTrace, type SoakOutcome, type SoakVariant } from './soakRun.js';
import type { SoakTrace } from './soakTrace.js';

/** Runs a schedule; fails with the message of the first invariant that does not hold. */
export function tryRunTrace(
  trace: SoakTrace,
  variant: SoakVariant = {},
): Result<SoakOutcome, string> {
  try {
    return ok(runTrace(trace, variant));
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error));
  }
}

/** Drops steps while the run still fails in the same way, within a number of runs. */
export function shrinkTrace(
  trace: SoakTrace,
  variant: SoakVariant,
  maximumRuns: number,
): SoakTrace {
  const wanted = getShape(tryRunTrace(trace, variant));
  let shrunk = trace;
  let runs = 0;
  for (let size = Math.ceil(trace.steps.length / 2); size >= 1; size = Math.floor(size / 2)) {
    let start = 0;
    while (start < shrunk.steps.length && runs < maximumRuns) {
      runs++;
      const steps = shrunk.steps.filter((_, index) => index < start || index >= start + size);
      const candidate = { ...shrunk, steps };
      if (getShape(tryRunTrace(candidate, variant)) === wanted) {
        shrunk = candidate;
      } else {
        start += size;
      }
    }
  }
  return shrunk;
}

/** A failure's message without its numbers, so that failures of one kind compare equal. */
function getShape(result: Result<SoakOutcome, string>): string | undefined {
  return result.isOk() ? undefined : result.error.split('\n')[0]?.replaceAll(/\d+/g, '#');
}
