import { InstanceRole } from '../control/announcement.js';
import type { GroupView } from './groupView.js';
import type { AnnouncedPoint, InstanceView, MeasuredPoint } from './instanceView.js';
import type { PromotionSettings } from './promotionSettings.js';

/** The log point that an instance announced; undefined when its announcements contain none. */
export function getAnnouncedPoint({ announced }: InstanceView): AnnouncedPoint | undefined {
  return announced !== undefined && announced.term > 0 ? announced : undefined;
}

/** The furthest known log point of an instance. */
export function getFurthestPoint(instance: InstanceView): MeasuredPoint | undefined {
  return pickFurther(getAnnouncedPoint(instance), instance.observed);
}

/** The further of two log points of one instance. */
export function pickFurther(
  first: MeasuredPoint | undefined,
  second: MeasuredPoint | undefined,
): MeasuredPoint | undefined {
  if (first === undefined || second === undefined) {
    return first ?? second;
  }
  return comparePoints(first, second) >= 0 ? first : second;
}

/** Orders log points by term, then by position. */
export function comparePoints(first: MeasuredPoint, second: MeasuredPoint): number {
  return first.term - second.term || first.position - second.position;
}

/** Orders instances by their log points, the furthest first, and by name when these are equal. */
export function compareFurthest(first: InstanceView, second: InstanceView): number {
  const firstPoint = getFurthestPoint(first);
  const secondPoint = getFurthestPoint(second);
  const order = firstPoint && secondPoint ? comparePoints(secondPoint, firstPoint) : 0;
  return order || (first.instance < second.instance ? -1 : 1);
}

/** Whether an instance announced itself within `missingMs`. */
export function isAnnouncing(
  view: GroupView,
  instance: InstanceView,
  settings: PromotionSettings,
): boolean {
  const { announced } = instance;
  return announced !== undefined && view.nowMs - announced.receivedAtMs < settings.missingMs;
}

/** Whether an instance announces itself as primary. */
export function isAnnouncedPrimary(instance: InstanceView): boolean {
  return instance.announced?.role === InstanceRole.Primary;
}
