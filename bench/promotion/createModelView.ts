import {
  toFailureDomain,
  toGroupId,
  toHostId,
  toInstanceId,
  toLeaseId,
  toLogPosition,
  toRevision,
  toTerm,
  type InstanceId,
} from '../../src/common/ids/index.js';
import { InstanceRole } from '../../src/decisions/control/index.js';
import type { GroupView, HolderView, InstanceView } from '../../src/decisions/promotion/index.js';
import { Acknowledgement } from '../../src/decisions/tickets/index.js';
import type { ModelHolder, ModelInstance, PromotionWorld } from './promotionWorld.js';

export const GROUP = toGroupId('g');
export const LEADER = toHostId('control-1');
const NOW_MS = 1_000_000;
const FENCE_MS = NOW_MS - 1000;
const RECENT_MS = NOW_MS - 10;
/** Before every time limit of the rules. */
const LONG_AGO_MS = 0;

export function getInstanceId(index: number): InstanceId {
  return toInstanceId(`i${index}`);
}

/** What the control leader knows of a modelled group; `isLate`: its time limits have passed. */
export function createModelView(world: PromotionWorld, isLate: boolean): GroupView {
  const { primary, holder } = world;
  const firstMs = isLate ? LONG_AGO_MS : RECENT_MS;
  return {
    ...{ group: GROUP, nowMs: NOW_MS, leader: LEADER, leaderSinceMs: LONG_AGO_MS, primary },
    acknowledgement: Acknowledgement.Synchronous,
    instances: world.instances.flatMap((each, index) =>
      each.isGone ? [] : [createInstanceView(each, index, holder)],
    ),
    departed: world.instances.flatMap(({ isGone, departed }, index) =>
      isGone && departed > 0
        ? [{ instance: getInstanceId(index), revision: toRevision(departed) }]
        : [],
    ),
    holder: holder && createHolderView(holder, primary.base?.term ?? primary.term),
    unheldSinceMs: holder === undefined ? FENCE_MS : undefined,
    ...{ firstSeenMs: LONG_AGO_MS, servingSinceMs: LONG_AGO_MS, moveAbandonedMs: undefined },
    movingSinceMs: firstMs,
    order: world.isOrdered
      ? { term: primary.term, firstMs, lastMs: firstMs, failed: false, unsettledCount: 1 }
      : undefined,
    failedInstances: [],
    isolatedSinceMs: undefined,
    primaryRevision: toRevision(world.primaryRevision),
  };
}

function createHolderView(holder: ModelHolder, servedTerm: number): HolderView {
  return {
    lease: toLeaseId('l'),
    hasHeldFullTerm: holder.hasHeldFullTerm,
    fencedTerm: toTerm(holder.fencedTerm),
    fencedAtMs: holder.fencedTerm >= servedTerm ? FENCE_MS : undefined,
    acknowledged: toLogPosition(holder.acknowledged),
    confirmed: toLogPosition(holder.confirmed),
  };
}

/** Instances announce their role but no position, which the holder observes. */
function createInstanceView(
  instance: ModelInstance,
  index: number,
  holder: ModelHolder | undefined,
): InstanceView {
  const { isRunning, isLeaving, isPrimary, restarted } = instance;
  const isObserved = isRunning && instance.isReachable;
  const point = {
    term: toTerm(instance.timeline),
    position: toLogPosition(instance.log.length),
    receivedAtMs: RECENT_MS,
  };
  return {
    instance: getInstanceId(index),
    domain: toFailureDomain('d'),
    ...{ inService: true, leaving: isLeaving, leavingRevision: toRevision(0) },
    restartedRevision: toRevision(restarted),
    announced: {
      ...{ term: toTerm(0), position: toLogPosition(0), leaving: isLeaving },
      role: isPrimary ? InstanceRole.Primary : InstanceRole.Replica,
      receivedAtMs: isRunning ? RECENT_MS : LONG_AGO_MS,
      earliestReceiptMs: isRunning ? RECENT_MS : LONG_AGO_MS,
    },
    observed:
      holder === undefined
        ? undefined
        : isObserved
          ? { ...point, reachable: true, isPrimary }
          : {
              ...{ term: toTerm(0), position: toLogPosition(0) },
              ...{ receivedAtMs: RECENT_MS, reachable: false },
            },
  };
}
