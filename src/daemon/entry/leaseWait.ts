import type { TimerService } from '../../common/timer/index.js';
import type { HolderLease } from '../holder/index.js';

/** Part of the wanted latency that requests wait for a lease that was lost; other hosts may hold one. */
const LEASE_WAIT_SHARE = 0.25;

/** How long callers' requests wait at a host that has no lease. */
export class LeaseWait {
  private lostSinceMs: number | undefined;

  constructor(
    private readonly timer: TimerService,
    private readonly lease: HolderLease,
  ) {}

  /** Notes since when there is no lease. */
  observe(): void {
    this.getRemainingMs(undefined);
  }

  /**
   * Time left for a request to wait for the lease, in milliseconds; undefined while the lease is in
   * force, and for callers that want no latency, which wait until their deadline.
   */
  getRemainingMs(targetMs: number | undefined): number | undefined {
    if (this.lease.isValid()) {
      this.lostSinceMs = undefined;
      return undefined;
    }
    const nowMs = this.timer.now();
    this.lostSinceMs ??= nowMs;
    return targetMs === undefined
      ? undefined
      : this.lostSinceMs + targetMs * LEASE_WAIT_SHARE - nowMs;
  }
}
