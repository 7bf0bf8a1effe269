/** Mean of samples, of which older ones count less by an exponential decay over time. */
export class DecayingMean {
  private total = 0;
  private weight = 0;
  private lastMs = Number.NEGATIVE_INFINITY;

  /**
   * `timeConstantMs`: time in which the weight of a sample falls to 1/e. `priorWeight`: weight, in
   * samples, of a usual value of 1 that keeps the mean of few samples near 1.
   */
  constructor(
    private readonly timeConstantMs: number,
    private readonly priorWeight = 0,
  ) {}

  /** The mean, in the unit of the samples; not a number without samples and prior. */
  get value(): number {
    return (this.total + this.priorWeight) / (this.weight + this.priorWeight);
  }

  /** Time of the last sample in milliseconds; negative infinity without one. */
  get updatedMs(): number {
    return this.lastMs;
  }

  get hasSamples(): boolean {
    return this.weight > 0;
  }

  /** Adds a sample. */
  add(sample: number, nowMs: number): void {
    const decay = Math.exp(-Math.max(0, nowMs - this.lastMs) / this.timeConstantMs);
    this.total = this.total * decay + sample;
    this.weight = this.weight * decay + 1;
    this.lastMs = nowMs;
  }
}
