import type { Term } from '../../common/ids/index.js';
import type { GroupView } from './groupView.js';
import { getAnnouncedPoint, pickFurther } from './logPoints.js';
import type { InstanceView, MeasuredPoint } from './instanceView.js';
import type { PromotionSettings } from './promotionSettings.js';

/** The time from which control knows that no further write of a term will be acknowledged. */
export interface Fence {
  readonly atMs: number;
  /**
   * Whether the holder is alive and reported it; otherwise its lease was released or has expired.
   */
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
 * The furthest log point of an instance that was measured after the fence: one that the holder
 * observed after fencing, or one announced and received by a daemon at least
 * `announcementDelayMs` after the fence, the longest time from its measurement to its receipt.
 */
export function getPointAfterFence(
  instance: InstanceView,
  fence: Fence,
  settings: PromotionSettings,
): MeasuredPoint | undefined {
  const { observed } = instance;
  const announced = getAnnouncedPoint(instance);
  const isMeasuredAfterFence =
    announced !== undefined &&
    announced.earliestReceiptMs >= fence.atMs + settings.announcementDelayMs;
  const isObservedAfterFence =
    fence.isReported &&
    observed !== undefined &&
    observed.reachable &&
    observed.receivedAtMs >= fence.atMs;
  return pickFurther(
    isMeasuredAfterFence ? announced : undefined,
    isObservedAfterFence ? observed : undefined,
  );
}
