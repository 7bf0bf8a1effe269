import { expect, test } from 'vitest';
import { NearReplica, RandomReplica } from '../../src/decisions/routing/index.js';
import { runReplicas } from './replicaRun.js';
import { SCENARIOS } from './scenario.js';

const SEED = 1;
const SLOWER = SCENARIOS.filter(({ name }) => name.includes('slower'));

test('the seed decides a run', () => {
  for (const scenario of SCENARIOS) {
    const first = runReplicas(new RandomReplica(), scenario, SEED);
    expect(runReplicas(new RandomReplica(), scenario, SEED)).toEqual(first);
    expect(runReplicas(new RandomReplica(), scenario, SEED + 1)).not.toEqual(first);
  }
});

test.each(SLOWER)('the chosen policy avoids a slow replica: $name', (scenario) => {
  const near = runReplicas(new NearReplica(2), scenario, SEED);
  const random = runReplicas(new RandomReplica(), scenario, SEED);
  expect(near.meanMs).toBeLessThan(random.meanMs);
});
