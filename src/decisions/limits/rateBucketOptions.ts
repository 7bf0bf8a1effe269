import type { AccountId, LeaseId } from '../../common/ids/index.js';
import type { AccountLimit } from './accountLimit.js';

/** What a rate bucket is created with. */
export interface RateBucketOptions {
  readonly account: AccountId;
  /** The lease under which this daemon holds the account. */
  readonly lease: LeaseId;
  readonly limit: AccountLimit;
  /** When this daemon learned that it holds the account, by its own clock. */
  readonly assignedMs: number;
  /** When the lease ends, by this daemon's clock; see `RateBucket.setLeaseEnd`. */
  readonly leaseEndMs: number;
  /** Tokens that the holder before handed over; none when left out. */
  readonly tokens?: number;
}
