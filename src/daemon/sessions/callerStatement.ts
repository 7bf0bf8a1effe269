/** What a caller's statement does. */
export enum StatementVerb {
  Begin = 'begin',
  Commit = 'commit',
  Rollback = 'rollback',
  Read = 'read',
  Write = 'write',
  /** Runs a prepared statement of the session. */
  Execute = 'execute',
  /** Sets a value of the session. */
  Set = 'set',
  Prepare = 'prepare',
  Deallocate = 'deallocate',
  /** Not understood. */
  Malformed = 'malformed',
}

/** One statement of a caller. */
export interface CallerStatement {
  /** The caller's id of it. */
  readonly id: string;
  readonly verb: StatementVerb;
  /** The text as the caller sent it. */
  readonly text: string;
  /** Name of the value or the prepared statement. */
  readonly name?: string;
  /** The value to set, what to prepare, or what to execute the statement with. */
  readonly value?: string;
  /** The prepared statement writes. */
  readonly preparesWrite?: boolean;
  /** The transaction only reads. */
  readonly readOnly?: boolean;
}

/** A prepared statement of a session. */
export interface SessionStatement {
  /** Name of the same statement on backend connections, shared between sessions. */
  readonly sharedName: string;
  /** What the backend server is sent to prepare it. */
  readonly message: Uint8Array;
  readonly isWrite: boolean;
}
