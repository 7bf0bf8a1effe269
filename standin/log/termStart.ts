import type { LogPosition, Term } from '../../src/common/ids/index.js';

/** A term and the position at which its primary began to write. */
export interface TermStart {
  readonly term: Term;
  readonly position: LogPosition;
}
