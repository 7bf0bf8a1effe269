/** A request at its holder, as the side that receives the answer sees it. */
export abstract class RunningRequest {
  /** Says how many bytes of the answer were consumed in all. */
  abstract consume(consumed: number): void;
  /** Gives the request up: it is not started any more, or is cancelled on the backend server. */
  abstract cancel(): void;
}
