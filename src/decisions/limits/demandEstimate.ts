/** An exponentially weighted estimate of an account's demand at one entry daemon. */
export class DemandEstimate {
  private ratePerMs = 0;
  private updatedMs = 0;

  /** `windowMs`: time constant of the estimate. */
  constructor(private readonly windowMs: number) {}

  /** Counts a request. */
  record(cost: number, nowMs: number): void {
    this.ratePerMs = this.getDecayedRate(nowMs) + cost / this.windowMs;
    this.updatedMs = nowMs;
  }

  /** Demand in tokens a second. */
  getRate(nowMs: number): number {
    return this.getDecayedRate(nowMs) * 1000;
  }

  private getDecayedRate(nowMs: number): number {
    return this.ratePerMs * Math.exp((this.updatedMs - nowMs) / this.windowMs);
  }
}
