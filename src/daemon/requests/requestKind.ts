/** Where a request may run and how it relates to a transaction. */
export enum RequestKind {
  /** May run on a replica. */
  Read = 'read',
  /** Runs on the primary outside a transaction. */
  Write = 'write',
  /** Opens a transaction. */
  Begin = 'begin',
  /** Runs inside an open transaction. */
  Inside = 'inside',
  /** Ends an open transaction, with a commit or a rollback. */
  End = 'end',
}
