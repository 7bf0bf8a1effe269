/** Bounds in time for detecting a lost primary and for promoting another. */
export interface PromotionSettings {
  /** Without announcements for this long an instance counts as missing. */
  readonly missingMs: number;
  /** Longest time from when an instance measures its position until a daemon has received it. */
  readonly settleMs: number;
  /** Time from a group's first announcement until its primary is decided. */
  readonly discoveryMs: number;
  /** Time from the first announcement after which a group without a primary gets one. */
  readonly firstPromotionMs: number;
  /** Time between orders to the platform. */
  readonly orderIntervalMs: number;
  /** Time after which an unfinished promotion is abandoned for another candidate. */
  readonly promotionTimeoutMs: number;
  /** Time after which a planned move is given up. */
  readonly moveTimeoutMs: number;
  /** Time after a planned move was given up until the group tries another. */
  readonly moveIntervalMs: number;
  /** Whether a new leader repeats an earlier leader's order; else it decides under a term of its own. */
  readonly adoptsOrders: boolean;
}

/** The bounds used unless set otherwise. */
export const DEFAULT_PROMOTION_SETTINGS: PromotionSettings = {
  missingMs: 1200,
  settleMs: 100,
  discoveryMs: 300,
  firstPromotionMs: 2000,
  orderIntervalMs: 500,
  promotionTimeoutMs: 1500,
  moveTimeoutMs: 2000,
  moveIntervalMs: 5000,
  adoptsOrders: true,
};
