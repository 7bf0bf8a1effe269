import { DEMAND_WINDOW_MS } from './limitTiming.js';

/** An exponentially weighted estimate of an account's demand at one entry daemon. */
export class DemandEstimate {
  private perMs = 0;
  private updatedMs = 0;

  /** Counts a request. */
  record(cost: number, nowMs: number): void {
    this.perMs = this.decayed(nowMs) + cost / DEMAND_WINDOW_MS;
    this.updatedMs = nowMs;
  }

  /** Demand in tokens a second. */
  getRate(nowMs: number): number {
    return this.decayed(nowMs) * 1000;
  }

  private decayed(nowMs: number): number {
    return this.perMs * Math.exp((this.updatedMs - nowMs) / DEMAND_WINDOW_MS);
  }
}
