const SMOOTHING_FACTOR = 0.1;
const MAXIMUM_CLASSES = 2048;

/** Estimates the service time of each statement class by a moving average of measured times. */
export class CostEstimate {
  private readonly classes = new Map<string, number>();

  constructor(private readonly initialMs: number) {}

  /** Estimated service time of a class in milliseconds. */
  get(costClass: string): number {
    return this.classes.get(costClass) ?? this.initialMs;
  }

  /** Adds a measured service time to the estimate of its class. */
  record(costClass: string, measuredMs: number): void {
    const known = this.classes.get(costClass);
    this.classes.delete(costClass);
    this.classes.set(
      costClass,
      known === undefined ? measuredMs : known + (measuredMs - known) * SMOOTHING_FACTOR,
    );
    this.evictOldest();
  }

  private evictOldest(): void {
    if (this.classes.size > MAXIMUM_CLASSES) {
      const oldest = this.classes.keys().next();
      if (oldest.done !== true) {
        this.classes.delete(oldest.value);
      }
    }
  }
}
