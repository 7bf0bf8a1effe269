import type { LogPosition, Term } from '../../src/common/ids/index.js';
import type { Change } from './change.js';

/** One committed transaction. */
export interface LogRecord {
  readonly term: Term;
  /** The position at which the record ends. */
  readonly position: LogPosition;
  /** Wall-clock time of the commit in milliseconds since 1970. */
  readonly committedAtMs: number;
  readonly changes: readonly Change[];
}
