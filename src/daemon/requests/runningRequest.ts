/** Controls a request that runs at its holder, for the side that receives the answer. */
export abstract class RunningRequest {
  /** Reports the total number of answer bytes consumed so far. */
  abstract consume(consumed: number): void;
  /** Cancels the request at its caller's demand; the answer is still delivered. */
  abstract cancel(): void;
  /** Refuses the request as not run unless it was started: its caller lost its rights. */
  abstract revoke(): void;
  /** Abandons the request: its answer is no longer needed. */
  abstract abandon(): void;
}
