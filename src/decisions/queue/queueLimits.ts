/** Bounds of one instance's queue. */
export interface QueueLimits {
  /** Requests of one account that may wait. */
  readonly maximumLength: number;
  /** Longest wait for a slot in milliseconds. */
  readonly maximumWaitMs: number;
  /** Longest time that a transaction may stay open in milliseconds. */
  readonly transactionLimitMs: number;
  /** Service time assumed for a class that was not measured yet, in milliseconds. */
  readonly initialCostMs: number;
}

/** The bounds that hold unless others are set. */
export const DEFAULT_QUEUE_LIMITS: QueueLimits = {
  maximumLength: 2000,
  maximumWaitMs: 30_000,
  transactionLimitMs: 30_000,
  initialCostMs: 5,
};
