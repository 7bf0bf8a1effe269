import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { shrinkTrace, tryRunTrace } from './shrinkTrace.js';
import type { SoakOutcome } from './soakRun.js';
import { createTrace, parseTrace, type SoakTrace } from './soakTrace.js';

const MINUTE_MS = 60_000;
const SEED_STRIDE = 1_000_003;
const SHRINK_RUNS = 150;
const MAXIMUM_FAILURES = 5;
const TRACE_FOLDER = 'dist/soak';

interface Bounds {
  readonly seed: number;
  readonly endMs: number;
  readonly schedules: number;
}

/** Runs schedules until a bound is reached; the exit code is 1 when one failed. */
function main(): void {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      minutes: { type: 'string' },
      schedules: { type: 'string' },
      replay: { type: 'string' },
    },
  });
  if (values.replay !== undefined) {
    replay(parseTrace(readFileSync(values.replay, 'utf8')));
    return;
  }
  const minutes = values.minutes ?? (values.schedules === undefined ? '1' : undefined);
  runSchedules({
    seed: Number(values.seed),
    endMs: minutes === undefined ? Infinity : Date.now() + Number(minutes) * MINUTE_MS,
    schedules: Number(values.schedules ?? Infinity),
  });
}

function replay(trace: SoakTrace): void {
  const result = tryRunTrace(trace);
  console.log(result.isOk() ? 'every invariant held' : result.error);
  process.exitCode = result.isOk() ? 0 : 1;
}

function runSchedules({ seed, endMs, schedules }: Bounds): void {
  const outcomes: SoakOutcome[] = [];
  let failures = 0;
  for (let index = 0; index < schedules && Date.now() < endMs; index++) {
    const trace = createTrace(seed * SEED_STRIDE + index);
    const result = tryRunTrace(trace);
    if (result.isOk()) {
      outcomes.push(result.value);
    } else {
      failures++;
      reportFailure(trace, result.error);
      if (failures >= MAXIMUM_FAILURES) {
        break;
      }
    }
  }
  report(seed, outcomes, failures);
}

function reportFailure(trace: SoakTrace, failure: string): void {
  const shrunk = shrinkTrace(trace, {}, SHRINK_RUNS);
  mkdirSync(TRACE_FOLDER, { recursive: true });
  const file = join(TRACE_FOLDER, `trace-${trace.seed}.json`);
  writeFileSync(file, `${JSON.stringify(shrunk, undefined, 2)}\n`);
  console.log(`schedule seed ${trace.seed}: ${failure.split('\n')[0]}`);
  console.log(`  ${trace.steps.length} steps shrunk to ${shrunk.steps.length}: --replay ${file}`);
  process.exitCode = 1;
}

function report(seed: number, outcomes: readonly SoakOutcome[], failures: number): void {
  console.log(`seed ${seed}: ${outcomes.length + failures} schedules, ${failures} failed`);
  const totals = new Map<string, number>();
  for (const outcome of outcomes) {
    for (const [name, value] of Object.entries(outcome)) {
      totals.set(name, (totals.get(name) ?? 0) + (value as number));
    }
  }
  for (const [name, total] of totals) {
    console.log(`  ${name} ${total}`);
  }
}

main();
