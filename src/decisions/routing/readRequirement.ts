import type { SessionPosition } from '../sessions/index.js';

/** What an instance must have for a read to run on it. */
export interface ReadRequirement {
  /** The session's own position; absent when the session has seen nothing of the group. */
  readonly session: SessionPosition | undefined;
  /** Oldest data that the caller accepts, in milliseconds; absent: the latest acknowledged. */
  readonly maximumStalenessMs: number | undefined;
  /** Every write acknowledged before the read has to be seen. */
  readonly latest?: boolean;
  /** No replica is tried, as after one lacked what the read needs. */
  readonly avoidsReplicas?: boolean;
}
