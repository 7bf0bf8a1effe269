import type { ProbeAnswer } from './instanceProbe.js';

/** What a probe asks for. */
export enum ProbeDepth {
  /** A sign of life and the position, at the least cost. */
  Position = 'position',
  /** Role, term and all that was received, though it may cost the instance a slot. */
  Standing = 'standing',
}

/** One connection over which an instance's position is read. */
export abstract class BackendProbe {
  /**
   * Opens the connection; fails when there is no answer within the time. False when the instance
   * answered that it has no room: it lives, but can't be asked yet.
   */
  abstract open(timeoutMs: number): Promise<boolean>;
  /** Asks the instance, which is expected to be the primary or not; fails without an answer in time. */
  abstract ask(depth: ProbeDepth, isPrimary: boolean, timeoutMs: number): Promise<ProbeAnswer>;
  /** Closes the connection. */
  abstract close(): void;
}
