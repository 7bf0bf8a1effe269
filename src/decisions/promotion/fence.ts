import type { Term } from '../../common/ids/index.js';
import type { GroupView } from './groupView.js';
import { getAnnouncedPoint, pickFurther } from './logPoints.js';
import type { InstanceView, MeasuredPoint } from './instanceView.js';
import type { PromotionSettings } from './promotionSettings.js';

/** When control knew that no write of a term will be acknowledged any more. */
export interface Fence {
  readonly atMs: number;
  /** The holder lives and reported; otherwise its lease is released or has run out. */
  readonly isReported: boolean;
}

/** Finds the fence of a term, if there is one. */
export function findFence(view: GroupView, term: Term): Fence | undefined {
  const { holder } = view;
  if (holder === undefined) {
    const atMs = view.unheldSinceMs;
    return atMs === undefined ? undefined : { atMs, isReported: false };
  }
  if (holder.fencedTerm < term || holder.fencedAtMs === undefined) {
    return undefined;
  }
  return { atMs: holder.fencedAtMs, isReported: true };
}

/**
 * The furthest place of an instance that was measured after the fence: what the holder sighted
 * after fencing, or announcements that a daemon received after the fence by more than their longest way.
 */
export function getPointAfterFence(
  instance: InstanceView,
  fence: Fence,
  settings: PromotionSettings,
): MeasuredPoint | undefined {
  const { sighted } = instance;
  const announced = getAnnouncedPoint(instance);
  const isMeasuredAfterFence =
    announced !== undefined && announced.measuredFromMs >= fence.atMs + settings.settleMs;
  const isObservedAfterFence =
    fence.isReported &&
    sighted !== undefined &&
    sighted.reachable &&
    sighted.receivedAtMs >= fence.atMs;
  return pickFurther(
    isMeasuredAfterFence ? announced : undefined,
    isObservedAfterFence ? sighted : undefined,
  );
}
