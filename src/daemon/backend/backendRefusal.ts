/** Why a backend server did not run a request. */
export enum BackendRefusal {
  /** Every slot or connection is taken. */
  Busy = 'busy',
  /** Its log lacks the position that the request needs. */
  Behind = 'behind',
  /** It is not the primary. */
  NotPrimary = 'not-primary',
  /** The connection lacks a prepared statement that it was believed to have. */
  StatementUnknown = 'statement-unknown',
}
