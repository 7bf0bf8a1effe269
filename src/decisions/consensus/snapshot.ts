import type { Membership } from './membership.js';

/** The state machine's state after the entry at `index`, which it replaces with all before. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  readonly state: Uint8Array;
}
