import type { RandomSource } from '../../common/random.js';
import type { FailureDomain } from '../../common/ids/index.js';
import type { InstanceView } from './instanceView.js';

/** Chooses among the instances that may serve a read. */
export abstract class ReplicaPolicy {
  /** Picks one of at least one eligible instance. */
  abstract choose(
    eligible: readonly InstanceView[],
    domain: FailureDomain,
    random: RandomSource,
  ): InstanceView;
}

/** The expected wait on an instance: its load per slot times its latency, raised while it warms up. */
export function getExpectedDelay(view: InstanceView): number {
  const perSlot = (view.load + 1) / Math.max(1, view.slots);
  return (perSlot * Math.max(view.latencyMs, MINIMUM_LATENCY_MS)) / Math.max(view.warmth, 0.01);
}

const MINIMUM_LATENCY_MS = 0.1;
