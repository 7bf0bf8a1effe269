import { assertInvariant } from '../../src/common/diagnostics/index.js';
import { toFailureDomain } from '../../src/common/ids/index.js';
import type { ReplicaPolicy } from '../../src/decisions/routing/index.js';
import { SeededRandom } from '../experiment/seededRandom.js';
import { ModelInstance } from './modelInstance.js';
import { HOLDER_DOMAIN, RUN_MS, type Scenario } from './scenario.js';

const MS_PER_SECOND = 1000;
const TAIL = 0.99;

/** The delays of one run, in milliseconds. */
export interface DelaySummary {
  readonly meanMs: number;
  readonly tailMs: number;
}

/** Runs the reads of a scenario under a policy; the seed decides the run. */
export function runReplicas(policy: ReplicaPolicy, scenario: Scenario, seed: number): DelaySummary {
  const random = new SeededRandom(seed);
  const instances = scenario.replicas.map(
    (replica, index) => new ModelInstance(String(index), replica, scenario, random),
  );
  const domain = toFailureDomain(HOLDER_DOMAIN);
  const delays: number[] = [];
  let nowMs = 0;
  while (nowMs < RUN_MS) {
    const views = instances.map((instance) => instance.getView(nowMs));
    const chosen = instances[views.indexOf(policy.choose(views, domain, random))];
    assertInvariant(chosen !== undefined, 'a policy chooses one of the given instances');
    delays.push(chosen.run(nowMs));
    nowMs += random.nextExponential(MS_PER_SECOND / scenario.readsPerSecond);
  }
  return summarize(delays);
}

function summarize(delays: number[]): DelaySummary {
  delays.sort((left, right) => left - right);
  const sum = delays.reduce((total, delay) => total + delay, 0);
  const tailMs = delays[Math.floor(delays.length * TAIL)] ?? 0;
  return { meanMs: sum / delays.length, tailMs };
}
