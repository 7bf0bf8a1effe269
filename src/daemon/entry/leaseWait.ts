import type { TimerService } from '../../common/timer/index.js';
import type { HolderLease } from '../holder/index.js';

/**
 * Share of the target latency that requests wait for a lost lease to be renewed. After that the
 * caller is better served by another host, which may hold a lease.
 */
const LEASE_WAIT_SHARE = 0.25;

/** Limits how long callers' requests wait on a host without a lease. */
export class LeaseWait {
  private lostSinceMs: number | undefined;

  constructor(
    private readonly timer: TimerService,
    private readonly lease: HolderLease,
  ) {}

  /** Records the time at which the lease was lost, and clears it while the lease is valid. */
  updateLossTime(): void {
    this.getRemainingMs(undefined);
  }

  /**
   * Returns the time that a request may still wait for the lease, in milliseconds; undefined while
   * the lease is valid, and for requests without a target latency, which wait until their deadline.
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
