import type { ProbeAnswer } from './instanceProbe.js';

/** The amount of information that a probe requests. */
export enum ProbeDepth {
  /** Liveness and the log position, at the least cost. */
  Position = 'position',
  /** Role, term and received log position; may take one of the instance's slots. */
  FullState = 'standing',
}

/** A connection over which the state of an instance is queried. */
export abstract class BackendProbe {
  /**
   * Opens the connection; fails without an answer within the timeout. Returns false when the
   * instance answered that it accepts no further connection: it is running, but can't be queried
   * yet.
   */
  abstract open(timeoutMs: number): Promise<boolean>;
  /**
   * Queries the instance's state; `isPrimary` is the role that it is expected to have. Fails
   * without an answer within the timeout.
   */
  abstract queryState(
    depth: ProbeDepth,
    isPrimary: boolean,
    timeoutMs: number,
  ): Promise<ProbeAnswer>;
  /** Closes the connection. */
  abstract close(): void;
}
