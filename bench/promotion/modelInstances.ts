import type { GroupPrimary } from '../../src/decisions/control/index.js';
import { getInstanceId } from './createModelView.js';
import type { ModelInstance, PromotionWorld } from './promotionWorld.js';

/** Whether each acknowledged write is on some instance; otherwise no decision can keep it. */
export function hasEveryWrite({ instances, acknowledged }: PromotionWorld): boolean {
  return acknowledged.every((entry) => instances.some(({ log }) => log.includes(entry)));
}

/** The index of the instance that control recorded as primary. */
export function getPrimaryIndex({ instances, primary }: PromotionWorld): number {
  return instances.findIndex((_, index) => getInstanceId(index) === primary.instance);
}

const LOST_INSTANCE = { isRunning: false, isReachable: false, isPrimary: false, timeline: 0 };

/** Whether the holder can observe an instance as the recorded primary. */
export function isObserved(
  instance: ModelInstance | undefined,
  { timeline }: GroupPrimary,
): instance is ModelInstance {
  const { isRunning, isReachable, isPrimary, timeline: own } = instance ?? LOST_INSTANCE;
  return isRunning && isReachable && isPrimary && own === timeline;
}

/** The running primary of the newest timeline. */
export function findLeader({ instances }: PromotionWorld): ModelInstance | undefined {
  const leaders = instances.filter(({ isPrimary, isRunning }) => isPrimary && isRunning);
  return leaders.sort((left, right) => right.timeline - left.timeline)[0];
}

/** Whether an instance can take over the log of a primary. */
export function canFollow(instance: ModelInstance, leader: ModelInstance): boolean {
  return (
    instance !== leader &&
    instance.isRunning &&
    !instance.isPrimary &&
    instance.timeline <= leader.timeline
  );
}

/** Has an instance take over the log of a primary if it can. */
export function follow(
  instance: ModelInstance | undefined,
  leader: ModelInstance | undefined,
): void {
  if (instance !== undefined && leader !== undefined && canFollow(instance, leader)) {
    instance.log = [...leader.log];
    instance.timeline = leader.timeline;
  }
}

/** Ends the wait for the orders of a term unless one may still be carried out late. */
export function removeUnsettled(world: PromotionWorld, term: number): void {
  const isLate = world.lateOrders.some((each) => each.term === term);
  const { unsettled, ...rest } = world.primary;
  const kept = (unsettled ?? []).filter((each) => isLate || each.term !== term);
  world.primary = kept.length === 0 ? rest : { ...rest, unsettled: kept };
}

/** All subsets but the empty one. */
export function getSubsets(items: readonly number[]): number[][] {
  const subsets = items.reduce<number[][]>(
    (known, item) => [...known, ...known.map((each) => [...each, item])],
    [[]],
  );
  return subsets.filter((each) => each.length > 0);
}
