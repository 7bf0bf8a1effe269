import { expect, test } from 'vitest';
import { FaultSoak } from './faultSoak.js';

const BUILD = new URL('../../dist', import.meta.url).pathname;
/** Mostly idle callers that stay with each entry host. */
const CROWD = 24;
const RUSH_MS = 12_000;

/** Seeds with rushes of callers while several hosts stop that once failed, and why. */
const RUSH_SEEDS: readonly (readonly [seed: number, cause: string])[] = [
  [4001, 'a caller whose request had arrived unread counted as idle and was closed'],
  [4002, 'requests that were taken late in a stop were cut when its time was over'],
];

test.each(RUSH_SEEDS)('seed %i keeps every promise in rushes (once %s)', async (seed) => {
  const size = { faultsMs: RUSH_MS, crowd: CROWD, network: 71 };
  const result = await FaultSoak.run({ seed, ...size, build: BUILD });
  expect(result.violations, `${result.faults.join('\n')}\nlogs: ${result.folder}`).toEqual([]);
  expect(result.acknowledged).toBeGreaterThan(0);
});
