/** The reason why a backend server did not run a request. */
export enum BackendRefusal {
  /** All slots or connections are in use. */
  Busy = 'busy',
  /** The instance's log has not reached the position that the request needs. */
  Behind = 'behind',
  /** The instance is not the primary. */
  NotPrimary = 'not-primary',
  /** A prepared statement that the daemon considered present is missing on the connection. */
  StatementUnknown = 'statement-unknown',
}
