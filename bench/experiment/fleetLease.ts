import type { LeaseId } from '../../src/common/ids/index.js';
import { CLOCK_DRIFT } from '../../src/decisions/limits/index.js';

/** One daemon lease of the fake fleet; both sides count it from the last renewal. */
export class FleetLease {
  private renewedMs: number;

  /** Takes the real time of the first renewal. */
  constructor(
    readonly id: LeaseId,
    private readonly lengthMs: number,
    nowMs: number,
  ) {
    this.renewedMs = nowMs;
  }

  /** Extends the lease; it must not be over. */
  renew(nowMs: number): void {
    this.renewedMs = nowMs;
  }

  /** Whether the lease is over on its holder's clock, however slow that clock is. */
  isOver(nowMs: number): boolean {
    return nowMs >= this.renewedMs + this.lengthMs / (1 - CLOCK_DRIFT);
  }

  /** The end of the lease by its holder's clock. */
  getEndMs(toLocal: (realMs: number) => number): number {
    return toLocal(this.renewedMs) + this.lengthMs;
  }
}
