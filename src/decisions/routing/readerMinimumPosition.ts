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

/**
 * Position that an instance must have reached for a read, or why its reader cannot determine it.
 */
export type ReaderMinimumPosition =
  | { readonly minimum: SessionPosition; readonly refusal?: undefined }
  | { readonly refusal: ReaderRefusal };

/**
 * Returns the position that a replica must have reached for a read that its reader starts now.
 * Without a staleness bound only the session's own position counts; a read with neither is left to
 * the holder.
 */
export function getReaderMinimumPosition(
  { session, maximumStalenessMs, latest = false }: ReadRequirement,
  primary: GroupPrimary | undefined,
  feed: PositionFeed,
  nowMs: number,
): ReaderMinimumPosition {
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

/**
 * Whether the current history includes the session's position. False during a promotion: the end of
 * the previous term is unknown until it completes, and only the holder may wait for it.
 */
function isIncluded(session: SessionPosition, primary: GroupPrimary): boolean {
  return (
    primary.phase !== PrimaryPhase.Promoting &&
    getPositionStatus(session, primary) === PositionStatus.Included
  );
}
