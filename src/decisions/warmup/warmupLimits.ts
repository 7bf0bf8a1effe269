/** Bound on the requests that a cold instance gets within any one second, from all hosts together. */
export interface WarmupLimits {
  /** Factor on the rate that the group asks for. */
  readonly overshoot: number;
  /** Requests allowed beyond that. */
  readonly slack: number;
}

/** Default bound. */
export const DEFAULT_WARMUP_LIMITS: WarmupLimits = { overshoot: 1.5, slack: 5 };
