import type { LogPosition, Term } from '../../common/ids/index.js';
import { getServedTimeline, PrimaryPhase, type GroupPrimary } from '../control/groupPrimary.js';

/** The last term of a group that served. */
export function getServedTerm(primary: GroupPrimary): Term | undefined {
  return primary.phase === PrimaryPhase.Promoting ? primary.base?.term : primary.term;
}

/** The position at which the last term that served began. */
export function getServedStart(primary: GroupPrimary): number {
  return primary.history.at(-1)?.position ?? 0;
}

/**
 * Whether a log point is on the history that ends in the last term that served, or in a promotion
 * since then. A point beyond the end of an earlier term is on another history.
 */
export function isOnHistory(primary: GroupPrimary, term: Term, position: LogPosition): boolean {
  const served = getServedTimeline(primary) ?? 0;
  if (term >= served) {
    return hasOwnTimeline(primary) || term <= primary.term;
  }
  const end = primary.history.find((each) => each.term === term);
  return end !== undefined && position <= end.position;
}

/**
 * Whether the platform numbers the terms of log positions (timelines) itself. Then only an order to
 * the platform to promote an instance begins a new timeline.
 */
function hasOwnTimeline({ timeline, base }: GroupPrimary): boolean {
  return timeline !== undefined || base?.timeline !== undefined;
}
