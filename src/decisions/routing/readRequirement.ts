import type { SessionPosition } from '../sessions/index.js';

/** Requirement that an instance must meet to run a read. */
export interface ReadRequirement {
  /** The session's own position; undefined if it has not accessed the group yet. */
  readonly session: SessionPosition | undefined;
  /**
   * Maximum age of the data, in milliseconds; if undefined, the instance must have reached
   * `session` or, without one, the latest acknowledged position.
   */
  readonly maximumStalenessMs: number | undefined;
  /** Whether every write acknowledged before the read must be visible. */
  readonly latest?: boolean;
  /** Whether replicas are skipped, as after one had not reached the required position. */
  readonly avoidsReplicas?: boolean;
}
