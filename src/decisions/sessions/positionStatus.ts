import { getServedTimeline, type GroupPrimary } from '../control/groupPrimary.js';
import type { SessionPosition } from './sessionPosition.js';

/** How a session's position relates to the history of the group's present primary. */
export enum PositionStatus {
  /** The present history contains the position. */
  Included = 'included',
  /** A promotion dropped the position: the session saw what no longer exists. */
  Lost = 'lost',
  /** The position belongs to a term that this daemon has not heard of yet. */
  Future = 'future',
}

/** Tells whether the present history of a group contains a session's position. */
export function getPositionStatus(
  position: SessionPosition,
  primary: GroupPrimary,
): PositionStatus {
  const timeline = getServedTimeline(primary) ?? primary.term;
  if (position.term > timeline) {
    return PositionStatus.Future;
  }
  if (position.term === timeline) {
    return PositionStatus.Included;
  }
  const end = primary.history.find((entry) => entry.term === position.term);
  // A term that is no longer remembered can't be shown to contain the position.
  return end !== undefined && position.position <= end.position
    ? PositionStatus.Included
    : PositionStatus.Lost;
}
