/** The sequence and answer fields of a renewal that a daemon is about to send. */
export interface RenewalStart {
  readonly sequence: number;
  /** Highest sequence number whose answer arrived; 0 for none. */
  readonly answered: number;
  /** Time since that answer arrived, in milliseconds. */
  readonly sinceAnsweredMs: number;
}
