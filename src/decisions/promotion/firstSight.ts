import { toTerm } from '../../common/ids/index.js';
import type { GroupView } from './groupView.js';
import type { InstanceView } from './instanceView.js';
import {
  compareFurthest,
  getPlace,
  getToldPlace,
  isAnnouncedPrimary,
  isAnnouncing,
} from './places.js';
import { createWait, PromotionStep, type PromotionDecision } from './promotionDecision.js';
import type { PromotionSettings } from './promotionSettings.js';

/** Decides on a group that has no primary record yet. */
export function decideFirst(view: GroupView, settings: PromotionSettings): PromotionDecision {
  const seenForMs = view.nowMs - (view.firstSeenMs ?? view.nowMs);
  if (seenForMs < settings.firstSightMs) {
    return createWait('first announcements');
  }
  const present = view.instances.filter((each) => isAnnouncing(view, each, settings));
  const highest = Math.max(0, ...present.map((each) => getPlace(each)?.term ?? 0));
  const primaries = present.filter(isAnnouncedPrimary);
  const leaders = primaries.filter((each) => getPlace(each)?.term === highest);
  const [only] = leaders;
  if (primaries.length > 0 && highest === 0) {
    return createWait('the position of the primary is not known');
  }
  if (only !== undefined && leaders.length === 1) {
    const record = { step: PromotionStep.Record, instance: only.instance } as const;
    const term = toTerm(highest);
    return getToldPlace(only) === undefined
      ? { ...record, term, timeline: term }
      : { ...record, term };
  }
  if (leaders.length > 1) {
    return createWait('several instances announce themselves primary of the same term');
  }
  return seenForMs < settings.firstPromotionMs
    ? createWait('no instance announces itself primary')
    : promoteFirst(view, present, highest);
}

function promoteFirst(
  view: GroupView,
  present: readonly InstanceView[],
  highest: number,
): PromotionDecision {
  if (present.length < view.instances.length) {
    return createWait('not every instance announces itself');
  }
  const [best] = present
    .filter((each) => each.inService && !each.leaving && each.announced?.leaving !== true)
    .filter((each) => getPlace(each)?.term === highest)
    .sort(compareFurthest);
  const place = best && getPlace(best);
  if (best === undefined || place === undefined) {
    return createWait('no instance can be the first primary');
  }
  return {
    step: PromotionStep.Promote,
    instance: best.instance,
    term: toTerm(highest + 1),
    required: place.position,
    reason: 'the group has no primary',
  };
}
