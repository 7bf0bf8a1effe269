import type { LogPosition, Term } from '../../src/common/ids/index.js';
import type { Row, SqlValue } from '../storage/index.js';

/** What functions may ask of the instance and the session. */
export interface Environment {
  readonly isReplica: boolean;
  readonly position: LogPosition;
  readonly term: Term;
  /** Wall-clock time of the last replayed transaction in milliseconds; absent before any. */
  readonly lastReplayMs: number | undefined;
  readonly processId: number;
  readonly database: string;
  readonly user: string;
  /** Wall-clock time in milliseconds since 1970. */
  nowMs(): number;
  getSetting(name: string): string | undefined;
  setSetting(name: string, value: string): void;
}

/** What an expression needs besides its row. */
export interface EvaluationContext {
  readonly parameters: readonly (string | undefined)[];
  readonly environment: Environment;
}

/** Computes a value from a row. */
export type Evaluate = (row: Row, context: EvaluationContext) => SqlValue;
