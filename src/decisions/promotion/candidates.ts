import { getServedTimeline, type GroupPrimary } from '../control/groupPrimary.js';
import type { GroupView } from './groupView.js';
import { isOnHistory } from './history.js';
import type { InstanceView } from './instanceView.js';
import { compareFurthest, getPlace, getToldPlace, isAnnouncing } from './places.js';
import type { PromotionSettings } from './promotionSettings.js';

/** Which instances are asked for. */
export enum Candidates {
  All = 'all',
  /** All but the present primary. */
  Others = 'others',
}

/** The instances that may be promoted, the furthest first. */
export function getCandidates(
  view: GroupView,
  primary: GroupPrimary,
  settings: PromotionSettings,
  wanted: Candidates,
): InstanceView[] {
  return view.instances
    .filter((each) => wanted === Candidates.All || each.instance !== primary.instance)
    .filter((each) => isCandidate(view, primary, each, settings))
    .sort(compareFurthest);
}

/** Whether an instance is to take no new work. */
export function hasToMove(instance: InstanceView | undefined): boolean {
  if (instance === undefined) {
    return false;
  }
  return !instance.inService || instance.leaving || instance.announced?.leaving === true;
}

/** The last primary may go on under a new term when it is announced and not out of reach. */
export function mayServeAgain(
  view: GroupView,
  primary: GroupPrimary,
  instance: InstanceView,
  settings: PromotionSettings,
): boolean {
  const isHidden = instance.sighted !== undefined && !instance.sighted.reachable;
  const place = getToldPlace(instance) ?? instance.sighted;
  const isSame = place?.term === getServedTimeline(primary);
  return isSame && isAnnouncing(view, instance, settings) && !isHidden;
}

function isCandidate(
  view: GroupView,
  primary: GroupPrimary,
  instance: InstanceView,
  settings: PromotionSettings,
): boolean {
  const place = getPlace(instance);
  if (place === undefined || !isOnHistory(primary, place.term, place.position)) {
    return false;
  }
  const isServed = instance.instance === (primary.base?.instance ?? primary.instance);
  if (isServed && !mayServeAgain(view, primary, instance, settings)) {
    return false;
  }
  const isReachable = instance.sighted?.reachable ?? isAnnouncing(view, instance, settings);
  return isReachable && !hasToMove(instance);
}
