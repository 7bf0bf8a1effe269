import { z } from 'zod';
import { FaultKind } from '../../tests/support/fleet/index.js';
import { SeededRandom } from '../../tests/support/seededRandom.js';
import { SoakKind, type SoakStep } from './soakStep.js';

const MINIMUM_STEPS = 8;
const EXTRA_STEPS = 25;
const MAXIMUM_AFTER_MS = 1500;
const MINIMUM_DURATION_MS = 50;
const MAXIMUM_DURATION_MS = 5000;
const TARGETS = 100;
/** Of the steps, the share that aims at the quorum or asks it something. */
const CONTROL_SHARE = 0.5;

const stepSchema = z.object({
  kind: z.union([z.enum(FaultKind), z.enum(SoakKind)]),
  afterMs: z.number(),
  target: z.number(),
  other: z.number(),
  durationMs: z.number(),
});

const traceSchema = z.object({
  seed: z.number(),
  controlHosts: z.number(),
  daemons: z.number(),
  groups: z.number(),
  isPoor: z.boolean(),
  steps: z.array(stepSchema),
});

/** A whole schedule of faults and requests; with its seed it determines a run. */
export interface SoakTrace {
  readonly seed: number;
  readonly controlHosts: number;
  readonly daemons: number;
  readonly groups: number;
  /** The network loses, repeats and delays messages all the time. */
  readonly isPoor: boolean;
  readonly steps: readonly SoakStep[];
}

/** Draws the schedule of a seed. */
export function createTrace(seed: number): SoakTrace {
  const random = new SeededRandom(seed);
  const controlHosts = random.chance(0.6) ? 3 : 5;
  const daemons = 3 + random.nextBelow(6);
  const groups = 1 + random.nextBelow(3);
  const isPoor = random.chance(0.5);
  const count = MINIMUM_STEPS + random.nextBelow(EXTRA_STEPS);
  const steps = Array.from({ length: count }, () => createStep(random));
  return { seed, controlHosts, daemons, groups, isPoor, steps };
}

/** Reads a trace file's text; throws when it is none. */
export function parseTrace(text: string): SoakTrace {
  return traceSchema.parse(JSON.parse(text));
}

function createStep(random: SeededRandom): SoakStep {
  const kinds: readonly SoakStep['kind'][] = random.chance(CONTROL_SHARE)
    ? Object.values(SoakKind)
    : Object.values(FaultKind);
  return {
    kind: random.pick(kinds) ?? SoakKind.TicketRace,
    afterMs: random.nextBelow(MAXIMUM_AFTER_MS),
    target: random.nextBelow(TARGETS),
    other: random.nextBelow(TARGETS),
    durationMs: MINIMUM_DURATION_MS + random.nextBelow(MAXIMUM_DURATION_MS - MINIMUM_DURATION_MS),
  };
}
