import { getServedTimeline, type GroupPrimary } from '../control/groupPrimary.js';
import type { SessionPosition } from './sessionPosition.js';

/** Relation of a session's position to the history of the group's current primary. */
export enum PositionStatus {
  /** The current history contains the position. */
  Included = 'included',
  /** A promotion dropped the position: the session observed writes that no longer exist. */
  Lost = 'lost',
  /** The position belongs to a term that this daemon does not know yet. */
  Future = 'future',
}

/** Determines whether the current history of a group contains a session's position. */
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
  // A term that is no longer in the history cannot be shown to contain the position.
  return end !== undefined && position.position <= end.position
    ? PositionStatus.Included
    : PositionStatus.Lost;
}
