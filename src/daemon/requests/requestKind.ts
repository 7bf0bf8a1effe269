/** How a request is to be run. */
export enum RequestKind {
  /** May run on a replica. */
  Read = 'read',
  /** Runs on the primary outside a transaction. */
  Write = 'write',
  /** Opens a transaction. */
  Begin = 'begin',
  /** Runs inside an open transaction. */
  Inside = 'inside',
  /** Ends an open transaction, perhaps committing it. */
  End = 'end',
}
