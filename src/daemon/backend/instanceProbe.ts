import type { LogPosition, Term } from '../../common/ids/index.js';

/** Where an instance stands, as it says itself. */
export interface ProbeAnswer {
  /** Whether it is primary; undefined when the answer does not tell. */
  readonly isPrimary: boolean | undefined;
  /** Term of the history that it is on. */
  readonly term: Term;
  /** Everything up to here can be read from it. */
  readonly position: LogPosition;
  /** Everything up to here is in its log; undefined when the answer does not tell. */
  readonly received: LogPosition | undefined;
}
