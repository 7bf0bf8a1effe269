/** What a statement asks of the proxy. */
export enum StatementKind {
  /** Changes nothing: any instance with the needed position may run it, and it may be repeated. */
  Read = 'read',
  /** Changes data or may do so: only the primary runs it. */
  Write = 'write',
  Begin = 'begin',
  Commit = 'commit',
  Rollback = 'rollback',
  /** Sets a parameter that the proxy keeps. */
  Set = 'set',
  /** Shows a parameter that the proxy keeps. */
  Show = 'show',
  Empty = 'empty',
  /** Needs a connection of its own for the whole session, which the proxy does not give. */
  Refused = 'refused',
}
