/**
 * Gain of the wall clock over the monotonic clock above which a suspension is suspected. It is far
 * less than the time for which the granter of a lease counts it longer (15 ms of 1500 ms), and far
 * more than an adjusted clock drifts between two readings a few milliseconds apart.
 */
const TOLERATED_GAIN_MS = 10;

/**
 * Detects probable suspensions of the host. The monotonic clock does not advance during one, the
 * wall clock does. A wall clock that was set forward can't be distinguished from a suspension and
 * counts as one.
 */
export class SuspensionDetector {
  private suspectedCount = 0;
  private suspectedMs = 0;
  private wallLeadMs: number;

  constructor(
    private readonly readMonotonicMs: () => number,
    private readonly readWallMs: () => number,
  ) {
    this.wallLeadMs = this.readWallLeadMs();
  }

  /** Reads both clocks and returns the number of suspensions suspected so far. */
  count(): number {
    const leadMs = this.readWallLeadMs();
    if (leadMs - this.wallLeadMs > TOLERATED_GAIN_MS) {
      this.suspectedCount += 1;
      this.suspectedMs += leadMs - this.wallLeadMs;
      this.wallLeadMs = leadMs;
    } else if (leadMs < this.wallLeadMs) {
      this.wallLeadMs = leadMs;
    }
    return this.suspectedCount;
  }

  /** Reads both clocks and returns the total length of the suspensions suspected so far. */
  getTotalMs(): number {
    this.count();
    return this.suspectedMs;
  }

  private readWallLeadMs(): number {
    return this.readWallMs() - this.readMonotonicMs();
  }
}
