import type { AccountId, LeaseId } from '../../common/ids/index.js';
import type { AccountLimit } from './accountLimit.js';

/** Options of a rate bucket. */
export interface RateBucketOptions {
  readonly account: AccountId;
  /** The lease under which this daemon holds the account. */
  readonly lease: LeaseId;
  readonly limit: AccountLimit;
  /** Time at which this daemon learned that it holds the account, on its own clock. */
  readonly assignedMs: number;
  /** Expiry of the lease on this daemon's clock; see `RateBucket.setLeaseEnd`. */
  readonly leaseEndMs: number;
  /** Tokens that the previous holder handed over; 0 if absent. */
  readonly tokens?: number;
}
