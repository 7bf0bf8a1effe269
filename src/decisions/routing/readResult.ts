/** How a read ended at its reader. */
export enum ReadResult {
  Served = 'served',
  /** It was refused for lack of capacity, or could not start before its deadline. */
  Refused = 'refused',
  /** It was lost, as with its connection, although the reader may still answer. */
  Lost = 'lost',
  /** The reader did not answer in time, or is not there any more. */
  Unanswered = 'unanswered',
}
