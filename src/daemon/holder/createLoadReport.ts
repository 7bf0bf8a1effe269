import {
  CLASS_PRIORITIES,
  createLoadReport,
  type LoadReport,
} from '../../decisions/overload/index.js';
import type { HeldInstance } from './heldInstance.js';
import type { ReadTargets } from './readRebalancer.js';

/** Reports the expected waits of a new request at the instances that would run it. */
export function createGroupLoadReport(targets: ReadTargets, nowMs: number): LoadReport {
  let primary: readonly number[] | undefined;
  let reads: readonly number[] | undefined;
  for (const instance of targets.getInstances()) {
    const isPrimary = targets.isPrimary(instance);
    const { reachable, inService, withdrawn } = instance.getView(nowMs);
    if (!reachable || withdrawn) {
      continue;
    }
    const waits = getWaits(instance, nowMs);
    if (isPrimary) {
      primary = waits;
    }
    if (isPrimary || inService) {
      reads = reads === undefined ? waits : getShorter(reads, waits);
    }
  }
  return createLoadReport(primary, reads);
}

function getWaits(instance: HeldInstance, nowMs: number): readonly number[] {
  const coldWaitMs = instance.getColdWaitMs(nowMs) ?? 0;
  return CLASS_PRIORITIES.map((priority) =>
    Math.max(coldWaitMs, instance.queue.getExpectedWaitMs(priority, nowMs)),
  );
}

function getShorter(left: readonly number[], right: readonly number[]): readonly number[] {
  return left.map((waitMs, index) => Math.min(waitMs, right[index] ?? waitMs));
}
