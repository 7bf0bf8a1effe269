import { expect, test } from 'vitest';
import { FaultSoak } from './faultSoak.js';

const PROGRAM = new URL('../../dist/platform/start.js', import.meta.url).pathname;
const FAULTS_MS = 6000;

/** Seeds that once failed, and one more. */
const SEEDS = [20_261_204, 56];

test.each(SEEDS)('seed %i keeps every promise', async (seed) => {
  const result = await FaultSoak.run(seed, FAULTS_MS, 70, PROGRAM);
  expect(result.violations).toEqual([]);
  expect(result.acknowledged).toBeGreaterThan(0);
});
