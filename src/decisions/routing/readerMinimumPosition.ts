import { getServedTimeline, PrimaryPhase, type GroupPrimary } from '../control/groupPrimary.js';
import {
  getFurthest,
  getPositionStatus,
  PositionStatus,
  type SessionPosition,
} from '../sessions/index.js';
import type { PositionFeed } from './positionFeed.js';
import { ReaderRefusal } from './readerRefusal.js';
import { toServedTimeline } from './minimumPosition.js';
import type { ReadRequirement } from './readRequirement.js';

/** What an instance must hold for a read, or why its reader can't tell. */
export type ReaderMinimum =
  | { readonly minimum: SessionPosition; readonly refusal?: undefined }
  | { readonly refusal: ReaderRefusal };

/**
 * The position that a replica must hold for a read that its reader starts now. Without a bound on the age only the
 * session's own position counts, and what has neither is left to the holder.
 */
export function getReaderMinimum(
  { session, maximumStalenessMs, latest = false }: ReadRequirement,
  primary: GroupPrimary | undefined,
  feed: PositionFeed,
  nowMs: number,
): ReaderMinimum {
  const term = primary && getServedTimeline(primary);
  if (primary === undefined || term === undefined) {
    return { refusal: ReaderRefusal.NoFreshPosition };
  }
  if (session !== undefined && !isIncluded(session, primary)) {
    return { refusal: ReaderRefusal.SessionUnknown };
  }
  const own = session && toServedTimeline(session, primary);
  if (latest || (maximumStalenessMs === undefined && own === undefined)) {
    return { refusal: ReaderRefusal.Unsupported };
  }
  if (maximumStalenessMs === undefined) {
    return own === undefined ? { refusal: ReaderRefusal.Unsupported } : { minimum: own };
  }
  const position = feed.getPositionAt(nowMs - maximumStalenessMs);
  if (position === undefined) {
    return { refusal: ReaderRefusal.NoFreshPosition };
  }
  return { minimum: getFurthest(own, { term, position }) ?? { term, position } };
}

/** While a promotion runs nobody knows where the earlier term ends: only the holder may wait for it. */
function isIncluded(session: SessionPosition, primary: GroupPrimary): boolean {
  return (
    primary.phase !== PrimaryPhase.Promoting &&
    getPositionStatus(session, primary) === PositionStatus.Included
  );
}
