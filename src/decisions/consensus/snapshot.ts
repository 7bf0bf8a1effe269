import type { Membership } from './membership.js';

/**
 * The state machine's state after the entry at `index`; replaces that entry and all earlier ones.
 */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  readonly state: Uint8Array;
}
