import type { RandomSource } from '../../common/random.js';
import type { FailureDomain } from '../../common/ids/index.js';
import type { InstanceView } from './instanceView.js';

/** Selects among the instances that may serve a read. */
export abstract class ReplicaPolicy {
  /** Selects one of the eligible instances, of which there is at least one. */
  abstract choose(
    eligible: readonly InstanceView[],
    domain: FailureDomain,
    random: RandomSource,
  ): InstanceView;
}

/** Returns the expected delay in ms: load per slot times latency, increased during a slow start. */
export function getExpectedDelay(view: InstanceView): number {
  const perSlot = (view.load + 1) / Math.max(1, view.slots);
  return (
    (perSlot * Math.max(view.latencyMs, MINIMUM_LATENCY_MS)) / Math.max(view.slowStartWeight, 0.01)
  );
}

const MINIMUM_LATENCY_MS = 0.1;
