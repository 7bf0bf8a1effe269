/**
 * How far the wall clock may gain on the monotonic clock between two looks before a suspension is
 * suspected. Far less than a lease is counted longer by its granter (15 ms of 1500 ms), far more
 * than an adjusted clock drifts between two looks some milliseconds apart.
 */
const TOLERATED_GAIN_MS = 10;

/**
 * Suspects that the host was suspended. A monotonic clock does not count such a time, the wall
 * clock does; a wall clock that was set forward looks the same and is suspected as well.
 */
export class SuspensionDetector {
  private suspected = 0;
  private leadMs: number;

  constructor(
    private readonly readMonotonicMs: () => number,
    private readonly readWallMs: () => number,
  ) {
    this.leadMs = this.readLeadMs();
  }

  /** Looks at both clocks; gives how many suspensions were suspected so far. */
  count(): number {
    const leadMs = this.readLeadMs();
    if (leadMs - this.leadMs > TOLERATED_GAIN_MS) {
      this.suspected += 1;
      this.leadMs = leadMs;
    } else if (leadMs < this.leadMs) {
      this.leadMs = leadMs;
    }
    return this.suspected;
  }

  private readLeadMs(): number {
    return this.readWallMs() - this.readMonotonicMs();
  }
}
