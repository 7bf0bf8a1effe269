/** Where the time of one request went, in milliseconds. */
export interface RequestTimes {
  /** From arrival until it was sent to a backend server. */
  readonly waitMs: number;
  /** From sending until the whole answer came. */
  readonly serviceMs: number;
  /** From arrival until the answer was handed to the caller. */
  readonly totalMs: number;
}
