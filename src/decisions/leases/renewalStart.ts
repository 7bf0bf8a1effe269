/** What a daemon puts into a renewal that it is about to send. */
export interface RenewalStart {
  readonly sequence: number;
  /** Highest sequence whose answer came; 0 for none. */
  readonly answered: number;
  /** Time since that answer came, in milliseconds. */
  readonly sinceAnsweredMs: number;
}
