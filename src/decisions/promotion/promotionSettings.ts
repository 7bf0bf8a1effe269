/** Time limits for detecting a lost primary and for promoting another instance. */
export interface PromotionSettings {
  /** Time without announcements after which an instance counts as missing. */
  readonly missingMs: number;
  /** Longest time from when an instance measures its position until a daemon has received it. */
  readonly announcementDelayMs: number;
  /** Time from a group's first announcement until its primary is decided. */
  readonly discoveryMs: number;
  /** Time from the first announcement after which a group without a primary gets one. */
  readonly firstPromotionMs: number;
  /** Time between orders to the platform. */
  readonly orderIntervalMs: number;
  /** Time after which an unfinished promotion is abandoned for another candidate. */
  readonly promotionTimeoutMs: number;
  /** Time after which a planned move is abandoned. */
  readonly moveTimeoutMs: number;
  /** Time after a planned move was abandoned until the group tries another. */
  readonly moveIntervalMs: number;
  /**
   * Whether a new leader repeats an earlier leader's order; otherwise it decides under a new term.
   */
  readonly adoptsOrders: boolean;
  /**
   * Whether the platform refuses an order whose fencing token is below one that it has seen.
   * Otherwise an order without an answer may be carried out after later ones.
   */
  readonly hasFencedOrders: boolean;
  /** Longest time after which the platform still carries out an order that it did not answer. */
  readonly orderLifetimeMs: number;
  /** Maximum number of promotions of one group that a leader begins in `promotionWindowMs`. */
  readonly maximumPromotions: number;
  readonly promotionWindowMs: number;
}

/** The default limits. */
export const DEFAULT_PROMOTION_SETTINGS: PromotionSettings = {
  missingMs: 1200,
  announcementDelayMs: 100,
  discoveryMs: 300,
  firstPromotionMs: 2000,
  orderIntervalMs: 500,
  promotionTimeoutMs: 1500,
  moveTimeoutMs: 2000,
  moveIntervalMs: 5000,
  adoptsOrders: true,
  hasFencedOrders: true,
  orderLifetimeMs: 60_000,
  maximumPromotions: 10,
  promotionWindowMs: 60_000,
};
