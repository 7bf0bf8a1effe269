import type { LeaseId } from '../../common/ids/index.js';

/** The daemon lease, as the parts that act under it see it. */
export abstract class HolderLease {
  /** The lease id, or undefined when there is none. */
  abstract readonly id: LeaseId | undefined;
  /** Whether the daemon may act on what it holds, at this very moment. */
  abstract isValid(): boolean;
  /** Time until the lease ends unless it is renewed, in milliseconds; 0 when it is not valid. */
  abstract readonly leftMs: number;
}
