import { toLogPosition } from '../../common/ids/index.js';
import { getServedTimeline, type GroupPrimary } from '../control/groupPrimary.js';
import { getFurthest, type SessionPosition } from '../sessions/index.js';
import type { PositionHistory } from './positionHistory.js';
import type { ReadRequirement } from './readRequirement.js';

/** The holder's knowledge of a group's acknowledged writes. */
export interface AcknowledgedWrites {
  readonly primary: GroupPrimary;
  /** Furthest position acknowledged to callers; undefined until it is known. */
  readonly acknowledged: SessionPosition | undefined;
  /** History of the primary's positions. */
  readonly positions: PositionHistory;
}

/**
 * Returns the log position that an instance must have reached for a read that starts now. The
 * instance itself checks it, because reads race with replication: this daemon's knowledge of a
 * replica is out of date by the time the read arrives there.
 */
export function getMinimumPosition(
  requirement: ReadRequirement,
  writes: AcknowledgedWrites,
  nowMs: number,
): SessionPosition | undefined {
  const { primary, acknowledged, positions } = writes;
  const { session, maximumStalenessMs, latest } = requirement;
  if (latest === true) {
    return acknowledged;
  }
  const own = session && toServedTimeline(session, primary);
  const term = getServedTimeline(primary);
  if (maximumStalenessMs === undefined || term === undefined) {
    return own;
  }
  const position = positions.getPositionAt(nowMs - maximumStalenessMs);
  return getFurthest(own, position === undefined ? acknowledged : { term, position });
}

/** Maps a position of an earlier term to the start of the current timeline, which includes it. */
export function toServedTimeline(session: SessionPosition, primary: GroupPrimary): SessionPosition {
  const term = getServedTimeline(primary) ?? session.term;
  const start = primary.history.at(-1)?.position ?? toLogPosition(0);
  return session.term < term ? { term, position: start } : session;
}
