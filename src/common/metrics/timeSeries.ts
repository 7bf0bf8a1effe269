/** The buckets, sum and count of one labelled series of a histogram. */
export class TimeSeries {
  /** Observations in each bucket, not cumulative; the last bucket has no upper bound. */
  readonly counts: number[];
  sum = 0;
  count = 0;

  constructor(private readonly upperBounds: readonly number[]) {
    this.counts = new Array<number>(upperBounds.length + 1).fill(0);
  }

  /** Adds one observation. */
  observe(value: number): void {
    const bounds = this.upperBounds;
    let index = 0;
    while (index < bounds.length && value > (bounds[index] ?? 0)) {
      index += 1;
    }
    this.counts[index] = (this.counts[index] ?? 0) + 1;
    this.sum += value;
    this.count += 1;
  }
}
