/** Marks the arrivals that conform to a rate and a burst, as a token bucket that starts full. */
export class Conformance {
  private level: number;
  private updatedMs = 0;

  constructor(
    private readonly rate: number,
    private readonly burst: number,
  ) {
    this.level = burst;
  }

  /** Whether an arrival conforms; one that does not takes no token. */
  arrive(nowMs: number): boolean {
    const gain = ((nowMs - this.updatedMs) / 1000) * this.rate;
    this.level = Math.min(this.burst, this.level + gain);
    this.updatedMs = nowMs;
    if (this.level < 1) {
      return false;
    }
    this.level -= 1;
    return true;
  }
}
