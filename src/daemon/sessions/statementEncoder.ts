import type { CallerStatement, SessionStatement } from './callerStatement.js';

/** Encodes statements for backend servers in the form of one protocol. */
export abstract class StatementEncoder {
  /** Encodes a caller's statement unchanged, except for the name of a prepared statement. */
  abstract createPayload(
    statement: CallerStatement,
    prepared: SessionStatement | undefined,
  ): Uint8Array;
  /** Encodes a statement that rolls back the session's transaction. */
  abstract createRollback(): Uint8Array;
  /** Creates the prepared statement that the session stores for a Prepare of its caller. */
  abstract createPrepared(statement: CallerStatement): SessionStatement;
}
