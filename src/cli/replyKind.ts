/** How one try of an HTTP request ended. */
export enum ReplyKind {
  /** The server gave its final answer. */
  Answered = 'answered',
  /** The server says that another, or a later try may do better, and that nothing was run. */
  Unavailable = 'unavailable',
  /** No connection was made, so that nothing was run. */
  Unreachable = 'unreachable',
  /** The request may have been run, but its answer did not come. */
  Lost = 'lost',
}
