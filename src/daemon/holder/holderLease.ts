import type { LeaseId } from '../../common/ids/index.js';

/** View of the daemon's lease for the components that act under it. */
export abstract class HolderLease {
  /** The lease id, or undefined when there is none. */
  abstract readonly id: LeaseId | undefined;
  /** Whether the lease is in force now, so that the daemon may act on the resources it holds. */
  abstract isValid(): boolean;
  /** Time until the lease ends unless it is renewed, in milliseconds; 0 when it is not valid. */
  abstract readonly leftMs: number;
}
