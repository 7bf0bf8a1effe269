import { DEFAULT_LEASE_TERMS, type LeaseTerms } from '../../leases/leaseTerms.js';
import { DEFAULT_PROMOTION_SETTINGS, type PromotionSettings } from '../../promotion/index.js';

/** Bounds in time and work for the control leader. */
export interface ControlSettings {
  readonly lease: LeaseTerms;
  readonly promotion: PromotionSettings;
  /** Time after which a proposal without an outcome may be made again. */
  readonly proposalTimeoutMs: number;
  /** Time for daemons to find a new leader before it gives out what nobody holds. */
  readonly fleetSettleMs: number;
  /** Time over which a host that joins comes to carry as much as the others. */
  readonly slowStartMs: number;
  /** Time between moves of groups from loaded to idle hosts. */
  readonly rebalanceIntervalMs: number;
  /** Groups and accounts looked at in one tick. */
  readonly decisionsPerTick: number;
  /** Groups and accounts looked at after any other input. */
  readonly decisionsPerInput: number;
}

/** The bounds used unless set otherwise. */
export const DEFAULT_CONTROL_SETTINGS: ControlSettings = {
  lease: DEFAULT_LEASE_TERMS,
  promotion: DEFAULT_PROMOTION_SETTINGS,
  proposalTimeoutMs: 3000,
  fleetSettleMs: 300,
  slowStartMs: 30_000,
  rebalanceIntervalMs: 1000,
  decisionsPerTick: 512,
  decisionsPerInput: 64,
};
