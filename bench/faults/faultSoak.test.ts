import { expect, test } from 'vitest';
import { FaultSoak } from './faultSoak.js';

const BUILD = new URL('../../dist', import.meta.url).pathname;
/** A seed draws the same faults for the same time only. */
const FAULTS_MS = 10_000;

/** Seeds that once failed, and why. */
const SEEDS: readonly (readonly [seed: number, cause: string])[] = [
  [1001, 'a second SIGTERM ended the process at once'],
  [1002, 'half written settings at a SIGHUP ended the process'],
  [1003, 'both, on hosts that stopped one after another'],
  [20_261_204, 'failed on earlier code with faults that were drawn otherwise'],
  [56, 'failed on earlier code with faults that were drawn otherwise'],
];

test.each(SEEDS)('seed %i keeps every promise (once %s)', async (seed) => {
  const result = await FaultSoak.run({ seed, faultsMs: FAULTS_MS, network: 70, build: BUILD });
  expect(result.violations, `${result.faults.join('\n')}\nlogs: ${result.folder}`).toEqual([]);
  expect(result.acknowledged).toBeGreaterThan(0);
});
