import { expect, test } from 'vitest';
import { brokenVariants } from './brokenVariants.js';
import { shrinkTrace, tryRunTrace } from './shrinkTrace.js';
import { runTrace, type SoakVariant } from './soakRun.js';
import { createTrace, parseTrace, type SoakTrace } from './soakTrace.js';

const SEEDS = Array.from({ length: 12 }, (_, index) => 100 + index);
const FIRST_VARIANT_SEED = 40;
const MAXIMUM_VARIANT_RUNS = 40;
const SHRINK_RUNS = 40;

function findFailing(variant: SoakVariant): { trace: SoakTrace; message: string } | undefined {
  for (let run = 0; run < MAXIMUM_VARIANT_RUNS; run++) {
    const trace = createTrace(FIRST_VARIANT_SEED + run);
    const result = tryRunTrace(trace, variant);
    if (result.isErr()) {
      return { trace, message: result.error };
    }
  }
  return undefined;
}

test.each(SEEDS)('every invariant holds over the whole core with seed %i', (seed) => {
  const outcome = runTrace(createTrace(seed));
  expect(outcome.acknowledgedWrites).toBeGreaterThan(0);
  expect(outcome.reads).toBeGreaterThan(0);
  expect(outcome.acceptedTickets).toBeGreaterThan(0);
  expect(outcome.readBacks).toBeGreaterThan(0);
});

test.each(brokenVariants)('the run finds: $name', ({ variant, finding }) => {
  expect(findFailing(variant)?.message).toMatch(finding);
});

test('a trace file is replayed exactly', () => {
  const trace = createTrace(7);
  const replayed = parseTrace(JSON.stringify(trace));
  expect(replayed).toEqual(trace);
  expect(runTrace(replayed)).toEqual(runTrace(trace));
});

test('a failing trace is shrunk and still fails in the same way', () => {
  const broken = brokenVariants.find(({ name }) => name.startsWith('equal ticket number'));
  const variant = broken?.variant ?? {};
  const failing = findFailing(variant);
  expect(failing).toBeDefined();
  if (failing !== undefined) {
    const shrunk = shrinkTrace(failing.trace, variant, SHRINK_RUNS);
    expect(shrunk.steps.length).toBeLessThanOrEqual(2);
    expect(tryRunTrace(shrunk, variant)._unsafeUnwrapErr()).toBe(failing.message);
  }
});

test('text that is no trace is refused', () => {
  expect(() => parseTrace('{"seed":1,"steps":[{"kind":"unknown"}]}')).toThrow();
});
