/**
 * Traffic of the counts of the present window: 100 changed accounts a second. With the times and the
 * counts of ended windows, the renewals of a host grow by less than 1 KB/s.
 */
const BYTES_PER_SECOND = 400;
const BURST_BYTES = 400;
/**
 * Traffic of the counts of ended windows, which have to arrive before their window is closed, and of
 * those that a new leader lacks: about 100 accounts with their names at once.
 */
const URGENT_BYTES_PER_SECOND = 4000;
const URGENT_BURST_BYTES = 2000;
const MS_PER_SECOND = 1000;

/** Limits the bytes of counts in renewals. */
export class TrafficBudget {
  private readonly present = new ByteBucket(BYTES_PER_SECOND, BURST_BYTES);
  private readonly urgent = new ByteBucket(URGENT_BYTES_PER_SECOND, URGENT_BURST_BYTES);

  /** Takes the bytes of another count of the present window; false if there are too few. */
  tryTake(bytes: number, nowMs: number): boolean {
    return this.present.tryTake(bytes, nowMs);
  }

  /** Takes the bytes of a count that must not wait; false if there are too few. */
  tryTakeUrgent(bytes: number, nowMs: number): boolean {
    return this.urgent.tryTake(bytes, nowMs);
  }
}

/** Token bucket of bytes; its content may be overdrawn once, so that no count is too large. */
class ByteBucket {
  private bytes: number;
  private updatedMs = -Infinity;

  constructor(
    private readonly bytesPerSecond: number,
    private readonly burstBytes: number,
  ) {
    this.bytes = burstBytes;
  }

  tryTake(bytes: number, nowMs: number): boolean {
    const refill = ((nowMs - this.updatedMs) * this.bytesPerSecond) / MS_PER_SECOND;
    this.bytes = Math.min(this.burstBytes, this.bytes + refill);
    this.updatedMs = nowMs;
    if (this.bytes <= 0) {
      return false;
    }
    this.bytes -= bytes;
    return true;
  }
}
