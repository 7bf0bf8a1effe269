import type { CallerStatement, SessionStatement } from './callerStatement.js';

/** The form that a protocol gives statements on their way to backend servers. */
export abstract class StatementForm {
  /** What runs a statement of the caller, as it is but for the name of a prepared statement. */
  abstract createPayload(
    statement: CallerStatement,
    prepared: SessionStatement | undefined,
  ): Uint8Array;
  /** A statement of the session's own that ends its transaction without effect. */
  abstract createRollback(): Uint8Array;
  /** What is kept of a statement that the caller prepares. */
  abstract createPrepared(statement: CallerStatement): SessionStatement;
}
