/** Kind of a statement, by how the proxy handles it. */
export enum StatementKind {
  /** Changes no data: any instance at the required position may run it, and it may be retried. */
  Read = 'read',
  /** Changes data or may do so: only the primary may run it. */
  Write = 'write',
  Begin = 'begin',
  Commit = 'commit',
  Rollback = 'rollback',
  /** Sets a parameter that the proxy stores. */
  Set = 'set',
  /** Shows a parameter that the proxy stores. */
  Show = 'show',
  Empty = 'empty',
  /** Needs a dedicated connection for the entire session, which the proxy does not provide. */
  Refused = 'refused',
}
