/** Bounds of one instance's queue. */
export interface QueueLimits {
  /** Maximum number of waiting requests of one account. */
  readonly maximumLength: number;
  /** Longest wait for a slot in milliseconds. */
  readonly maximumWaitMs: number;
  /** Longest time that a transaction may stay open in milliseconds. */
  readonly transactionLimitMs: number;
  /** Service time assumed for a statement class without measurements, in milliseconds. */
  readonly initialCostMs: number;
}

/** Default bounds of a queue. */
export const DEFAULT_QUEUE_LIMITS: QueueLimits = {
  maximumLength: 2000,
  maximumWaitMs: 30_000,
  transactionLimitMs: 30_000,
  initialCostMs: 5,
};
