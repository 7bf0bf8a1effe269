import type { LogPosition, Term } from '../../common/ids/index.js';

/** How far a session has seen a group's log: everything up to `position` of `term`. */
export interface SessionPosition {
  readonly term: Term;
  readonly position: LogPosition;
}

/** Orders positions by term, then by position within it. */
export function comparePositions(left: SessionPosition, right: SessionPosition): number {
  return left.term === right.term ? left.position - right.position : left.term - right.term;
}

/** The further of two positions; an absent one is before all others. */
export function getFurthest(
  left: SessionPosition | undefined,
  right: SessionPosition | undefined,
): SessionPosition | undefined {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  return comparePositions(left, right) >= 0 ? left : right;
}
