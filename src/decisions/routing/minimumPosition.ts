import { toLogPosition } from '../../common/ids/index.js';
import { getServedTimeline, type GroupPrimary } from '../control/groupPrimary.js';
import { getFurthest, type SessionPosition } from '../sessions/index.js';
import type { PositionClock } from './positionHistory.js';
import type { ReadRequirement } from './readRequirement.js';

/** What the holder knows of a group's acknowledged writes. */
export interface AcknowledgedWrites {
  readonly primary: GroupPrimary;
  /** The furthest position acknowledged to callers; absent until it is known. */
  readonly acknowledged: SessionPosition | undefined;
  /** When the primary had which position. */
  readonly clock: PositionClock;
}

/**
 * The position that an instance's log must hold for a read that starts now, checked by the instance
 * itself. It answers reads that race with replication: what this daemon knows of a replica is old by
 * the time the read arrives there.
 */
export function getReadMinimum(
  requirement: ReadRequirement,
  writes: AcknowledgedWrites,
  nowMs: number,
): SessionPosition | undefined {
  const { primary, acknowledged, clock } = writes;
  const { session, maximumStalenessMs, latest } = requirement;
  if (latest === true) {
    return acknowledged;
  }
  const own = session && toServedTimeline(session, primary);
  const term = getServedTimeline(primary);
  if (maximumStalenessMs === undefined || term === undefined) {
    return own;
  }
  const position = clock.getPositionAt(nowMs - maximumStalenessMs);
  return getFurthest(own, position === undefined ? acknowledged : { term, position });
}

/** A position of an earlier term is held by everything that is on the present one. */
export function toServedTimeline(session: SessionPosition, primary: GroupPrimary): SessionPosition {
  const term = getServedTimeline(primary) ?? session.term;
  const start = primary.history.at(-1)?.position ?? toLogPosition(0);
  return session.term < term ? { term, position: start } : session;
}
