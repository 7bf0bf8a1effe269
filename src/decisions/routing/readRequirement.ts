import type { SessionPosition } from '../sessions/index.js';

/** What an instance must have for a read to run on it. */
export interface ReadRequirement {
  /** The session's own position; absent when the session has seen nothing of the group. */
  readonly session: SessionPosition | undefined;
  /** Oldest data that the caller accepts, in milliseconds; absent: the latest acknowledged. */
  readonly maximumStalenessMs: number | undefined;
}
