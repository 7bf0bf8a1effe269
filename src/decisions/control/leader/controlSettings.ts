import { DEFAULT_LEASE_TERMS, type LeaseTerms } from '../../leases/leaseTerms.js';
import type { UsageTerms } from '../../usage/index.js';
import { DEFAULT_PROMOTION_SETTINGS, type PromotionSettings } from '../../promotion/index.js';

/** Time and work limits of the control leader. */
export interface ControlSettings {
  readonly lease: LeaseTerms;
  readonly promotion: PromotionSettings;
  /** Time after which a proposal without an outcome may be repeated. */
  readonly proposalTimeoutMs: number;
  /**
   * Time a new leader gives daemons to find it before it assigns groups and accounts without a
   * holder.
   */
  readonly fleetSettleMs: number;
  /** Slow start: time until a newly joined host may have as much load as the others. */
  readonly slowStartMs: number;
  /** Time between moves of groups from loaded to idle hosts. */
  readonly rebalanceIntervalMs: number;
  /**
   * Time for which a holder has to reach its primary but no replica before the group moves to another
   * host.
   */
  readonly isolationMs: number;
  /** Minimum time between two such moves of a group. */
  readonly isolationIntervalMs: number;
  /** Whether holders follow their primaries, and readers are chosen near their replicas first. */
  readonly followsInstances?: boolean;
  /** Whether groups, readers and accounts are placed by the work that hosts report for them. */
  readonly placesByLoad?: boolean;
  /** Maximum number of groups and accounts processed in one tick. */
  readonly decisionsPerTick: number;
  /** Maximum number of groups and accounts processed after any other input. */
  readonly decisionsPerInput: number;
  /** Times of usage reports; absent where usage is not reported. */
  readonly usage?: UsageTerms;
}

/** Default limits of the control leader. */
export const DEFAULT_CONTROL_SETTINGS: ControlSettings = {
  lease: DEFAULT_LEASE_TERMS,
  promotion: DEFAULT_PROMOTION_SETTINGS,
  proposalTimeoutMs: 3000,
  fleetSettleMs: 300,
  slowStartMs: 30_000,
  rebalanceIntervalMs: 1000,
  isolationMs: 500,
  isolationIntervalMs: 3000,
  decisionsPerTick: 512,
  decisionsPerInput: 64,
};
