/** Durations of the phases of one request, in milliseconds. */
export interface RequestTimes {
  /** From arrival until it was sent to a backend server. */
  readonly waitMs: number;
  /** From sending until the complete answer arrived. */
  readonly serviceMs: number;
  /** From arrival until the answer was handed to the caller. */
  readonly totalMs: number;
}
