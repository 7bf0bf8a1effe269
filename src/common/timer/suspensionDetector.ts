/**
 * Gain of the wall clock over the monotonic clock above which a suspension is suspected. It is far
 * less than the time for which the granter of a lease counts it longer (15 ms of 1500 ms), and far
 * more than an adjusted clock drifts between two readings a few milliseconds apart.
 */
const TOLERATED_GAIN_MS = 10;

/** Time for a reading of both clocks above which the process was paused between them. */
const MAXIMUM_READING_MS = 1;
/** A process that is paused in each of these readings at least suspects no suspension too few. */
const MAXIMUM_READINGS = 5;

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

  /**
   * Returns by how much the wall clock leads the monotonic clock, or slightly more. The clocks can
   * only be read one after the other, and the process may be paused in between, by the scheduler or
   * the garbage collector: such a reading is repeated.
   */
  private readWallLeadMs(): number {
    let leadMs = Infinity;
    for (let reading = 0; reading < MAXIMUM_READINGS; reading += 1) {
      const startMs = this.readMonotonicMs();
      const wallMs = this.readWallMs();
      leadMs = Math.min(leadMs, wallMs - startMs);
      if (this.readMonotonicMs() - startMs <= MAXIMUM_READING_MS) {
        break;
      }
    }
    return leadMs;
  }
}
