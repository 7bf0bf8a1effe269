import { getServedTimeline, type GroupPrimary } from '../control/groupPrimary.js';
import type { GroupView } from './groupView.js';
import { isOnHistory } from './history.js';
import type { InstanceView } from './instanceView.js';
import { compareFurthest, getFurthestPoint, getAnnouncedPoint, isAnnouncing } from './logPoints.js';
import type { PromotionSettings } from './promotionSettings.js';

/** The instances to consider. */
export enum CandidateScope {
  All = 'all',
  /** All but the present primary. */
  Others = 'others',
}

/** The instances that may be promoted, the one with the furthest log point first. */
export function getCandidates(
  view: GroupView,
  primary: GroupPrimary,
  settings: PromotionSettings,
  scope: CandidateScope,
): InstanceView[] {
  return view.instances
    .filter((each) => scope === CandidateScope.All || each.instance !== primary.instance)
    .filter((each) => isCandidate(view, primary, each, settings))
    .sort(compareFurthest);
}

/** Whether an instance is to accept no new work: it is out of service or leaving. */
export function mustMove(instance: InstanceView | undefined): boolean {
  if (instance === undefined) {
    return false;
  }
  return !instance.inService || instance.leaving || instance.announced?.leaving === true;
}

/**
 * Whether the last primary can serve again under a new term: it announces itself, is on the served
 * timeline and was not observed to be unreachable.
 */
export function canServeAgain(
  view: GroupView,
  primary: GroupPrimary,
  instance: InstanceView,
  settings: PromotionSettings,
): boolean {
  const isUnreachable = instance.observed !== undefined && !instance.observed.reachable;
  const point = getAnnouncedPoint(instance) ?? instance.observed;
  const isSameTimeline = point?.term === getServedTimeline(primary);
  return isSameTimeline && isAnnouncing(view, instance, settings) && !isUnreachable;
}

function isCandidate(
  view: GroupView,
  primary: GroupPrimary,
  instance: InstanceView,
  settings: PromotionSettings,
): boolean {
  const point = getFurthestPoint(instance);
  if (point === undefined || !isOnHistory(primary, point.term, point.position)) {
    return false;
  }
  const isLastPrimary = instance.instance === (primary.base?.instance ?? primary.instance);
  if (isLastPrimary && !canServeAgain(view, primary, instance, settings)) {
    return false;
  }
  const isReachable = instance.observed?.reachable ?? isAnnouncing(view, instance, settings);
  return isReachable && !mustMove(instance);
}
