/** Serves callers that use one protocol. */
export abstract class CallerFrontend {
  /** Number of connected callers. */
  abstract readonly count: number;
  /** Listening port; after `close`, the port that was listened on. */
  abstract readonly port: number;
  /** Starts listening; rejects if the address can't be bound. */
  abstract listen(): Promise<void>;
  /** Applies changed control records. */
  abstract recordsChanged(): void;
  /** Refuses new callers and ends each session once it is idle. */
  abstract drain(): void;
  /** Starts no further statement, and ends sessions and transactions after the running one. */
  abstract finish(): void;
  /**
   * Abandons running requests and ends all sessions; a running request is answered with a fault
   * that states whether it may have been run.
   */
  abstract close(): void;
}
