import type { LogPosition, Term } from '../../common/ids/index.js';

/** Part of a group's log that a session has observed: everything up to `position` of `term`. */
export interface SessionPosition {
  readonly term: Term;
  readonly position: LogPosition;
}

/** Compares positions by term, then by position within it. */
export function comparePositions(left: SessionPosition, right: SessionPosition): number {
  return left.term === right.term ? left.position - right.position : left.term - right.term;
}

/** Returns the further of two positions; undefined precedes all others. */
export function getFurthest(
  left: SessionPosition | undefined,
  right: SessionPosition | undefined,
): SessionPosition | undefined {
  if (left === undefined || right === undefined) {
    return left ?? right;
  }
  return comparePositions(left, right) >= 0 ? left : right;
}
