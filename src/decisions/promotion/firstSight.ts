import { toLogPosition, toTerm } from '../../common/ids/index.js';
import type { GroupView } from './groupView.js';
import type { InstanceView } from './instanceView.js';
import { compareFurthest, isAnnouncedPrimary, isAnnouncing } from './places.js';
import { createWait, PromotionStep, type PromotionDecision } from './promotionDecision.js';
import type { PromotionSettings } from './promotionSettings.js';

/** Decides on a group that has no primary record yet. */
export function decideFirst(view: GroupView, settings: PromotionSettings): PromotionDecision {
  const seenForMs = view.nowMs - (view.firstSeenMs ?? view.nowMs);
  if (seenForMs < settings.firstSightMs) {
    return createWait('first announcements');
  }
  const present = view.instances.filter((each) => isAnnouncing(view, each, settings));
  const highest = Math.max(0, ...present.map((each) => each.announced?.term ?? 0));
  const primaries = present.filter(isAnnouncedPrimary);
  const leaders = primaries.filter((each) => each.announced?.term === highest);
  const [only] = leaders;
  if (only !== undefined && leaders.length === 1) {
    return { step: PromotionStep.Record, instance: only.instance, term: toTerm(highest) };
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
    .filter((each) => each.announced?.term === highest)
    .sort(compareFurthest);
  if (best?.announced === undefined) {
    return createWait('no instance can be the first primary');
  }
  return {
    step: PromotionStep.Promote,
    instance: best.instance,
    term: toTerm(highest + 1),
    required: toLogPosition(best.announced.position),
    reason: 'the group has no primary',
  };
}
