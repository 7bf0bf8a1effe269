/** Time for which a computed wait is kept, in milliseconds; far below the life of a load figure. */
const VALIDITY_MS = 10;
/** Change of the number of waiting requests, relative to it, after which waits are computed again. */
const TOLERANCE = 0.125;

/** Keeps the expected waits by rank for a short time, since computing one looks at all accounts. */
export class ExpectedWaits {
  private readonly waitsMs = new Map<number, number>();
  private computedMs = Number.NEGATIVE_INFINITY;
  private waiting = 0;

  /** Returns the kept wait of a rank, or computes it if it is old or the queue has changed. */
  get(rank: number, waiting: number, nowMs: number, compute: () => number): number {
    const isOld = nowMs - this.computedMs >= VALIDITY_MS || nowMs < this.computedMs;
    if (isOld || Math.abs(waiting - this.waiting) > TOLERANCE * this.waiting) {
      this.waitsMs.clear();
      this.computedMs = nowMs;
      this.waiting = waiting;
    }
    const waitMs = this.waitsMs.get(rank) ?? compute();
    this.waitsMs.set(rank, waitMs);
    return waitMs;
  }
}
