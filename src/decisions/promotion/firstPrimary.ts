import { toTerm } from '../../common/ids/index.js';
import type { GroupView } from './groupView.js';
import type { InstanceView } from './instanceView.js';
import {
  compareFurthest,
  getFurthestPoint,
  getAnnouncedPoint,
  isAnnouncedPrimary,
  isAnnouncing,
} from './logPoints.js';
import { createWait, PromotionStep, type PromotionDecision } from './promotionDecision.js';
import type { PromotionSettings } from './promotionSettings.js';

/** Decides on a group that has no primary record yet. */
export function decideFirstPrimary(
  view: GroupView,
  settings: PromotionSettings,
): PromotionDecision {
  const observedForMs = view.nowMs - (view.firstSeenMs ?? view.nowMs);
  if (observedForMs < settings.discoveryMs) {
    return createWait('first announcements are awaited');
  }
  const announcing = view.instances.filter((each) => isAnnouncing(view, each, settings));
  const highest = Math.max(0, ...announcing.map((each) => getFurthestPoint(each)?.term ?? 0));
  const primaries = announcing.filter(isAnnouncedPrimary);
  const latestPrimaries = primaries.filter((each) => getFurthestPoint(each)?.term === highest);
  const [latestPrimary] = latestPrimaries;
  if (primaries.length > 0 && highest === 0) {
    return createWait('the position of the primary is not known');
  }
  if (latestPrimary !== undefined && latestPrimaries.length === 1) {
    const record = { step: PromotionStep.Record, instance: latestPrimary.instance } as const;
    const term = toTerm(highest);
    return getAnnouncedPoint(latestPrimary) === undefined
      ? { ...record, term, timeline: term }
      : { ...record, term };
  }
  if (latestPrimaries.length > 1) {
    return createWait('several instances announce themselves primary of the same term');
  }
  return observedForMs < settings.firstPromotionMs
    ? createWait('no instance announces itself primary')
    : promoteFirstPrimary(view, announcing, highest);
}

function promoteFirstPrimary(
  view: GroupView,
  announcing: readonly InstanceView[],
  highest: number,
): PromotionDecision {
  if (announcing.length < view.instances.length) {
    return createWait('not every instance announces itself');
  }
  const [best] = announcing
    .filter((each) => each.inService && !each.leaving && each.announced?.leaving !== true)
    .filter((each) => getFurthestPoint(each)?.term === highest)
    .sort(compareFurthest);
  const point = best && getFurthestPoint(best);
  if (best === undefined || point === undefined) {
    return createWait('no instance can be the first primary');
  }
  return {
    step: PromotionStep.Promote,
    instance: best.instance,
    term: toTerm(highest + 1),
    required: point.position,
    reason: 'the group has no primary',
  };
}
