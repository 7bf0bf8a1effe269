/** Kind of a caller's statement. */
export enum StatementVerb {
  Begin = 'begin',
  Commit = 'commit',
  Rollback = 'rollback',
  Read = 'read',
  Write = 'write',
  /** Runs a prepared statement of the session. */
  Execute = 'execute',
  /** Sets a session value. */
  Set = 'set',
  Prepare = 'prepare',
  Deallocate = 'deallocate',
  /** Could not be parsed. */
  Malformed = 'malformed',
}

/** A statement as parsed from a caller's message. */
export interface CallerStatement {
  /** Id that the caller gave the statement. */
  readonly id: string;
  readonly verb: StatementVerb;
  /** Text of the statement as sent by the caller. */
  readonly text: string;
  /** Name of the session value or prepared statement. */
  readonly name?: string;
  /** Value to set, text to prepare, or arguments to execute a prepared statement with. */
  readonly value?: string;
  /** Whether the statement to prepare writes. */
  readonly preparesWrite?: boolean;
  /** Whether the transaction to begin is read-only. */
  readonly readOnly?: boolean;
}

/** A prepared statement of a session. */
export interface SessionStatement {
  /** Name of the statement on backend connections, where sessions share it. */
  readonly sharedName: string;
  /** Message that prepares the statement on a backend server. */
  readonly message: Uint8Array;
  readonly isWrite: boolean;
}
