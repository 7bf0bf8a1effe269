import type { CallerStatement } from './callerStatement.js';

const HIGH_WATER_STATEMENTS = 64;
/** In UTF-16 units of the statements' texts. */
const HIGH_WATER_LENGTH = 1_048_576;

/** Queue of a caller's statements that wait to be run. */
export class StatementQueue {
  private statements: CallerStatement[] = [];
  private length = 0;

  /** Number of statements. */
  get count(): number {
    return this.statements.length;
  }

  /** UTF-16 units of the statements' texts. */
  get textLength(): number {
    return this.length;
  }

  get isEmpty(): boolean {
    return this.statements.length === 0;
  }

  /** Whether the queue is below its high-water marks, so that more may be read from the caller. */
  get isBelowHighWater(): boolean {
    return this.statements.length < HIGH_WATER_STATEMENTS && this.length < HIGH_WATER_LENGTH;
  }

  push(statement: CallerStatement): void {
    this.statements.push(statement);
    this.length += statement.text.length;
  }

  /** Removes and returns the oldest statement; undefined if the queue is empty. */
  shift(): CallerStatement | undefined {
    const statement = this.statements.shift();
    this.length -= statement?.text.length ?? 0;
    return statement;
  }

  /** Removes and returns all statements, the oldest first. */
  takeAll(): readonly CallerStatement[] {
    const { statements } = this;
    this.statements = [];
    this.length = 0;
    return statements;
  }
}
