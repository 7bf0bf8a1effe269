/** A request at its holder, as the side that receives the answer sees it. */
export abstract class RunningRequest {
  /** Says how many bytes of the answer were consumed in all. */
  abstract consume(consumed: number): void;
  /** Cancels the request as its caller asked; its answer still comes. */
  abstract cancel(): void;
  /** Gives the request up: nobody waits for its answer any more. */
  abstract abandon(): void;
}
