/** Time for which the last figure of a resource counts. */
const VALID_MS = 60_000;
/**
 * Least weight of a resource, as a fraction of the mean. Resources at rest still cost probes and
 * connections, and without a weight all of them would be placed on one host.
 */
const LEAST_FRACTION = 0.25;
/** Factor by which the mean has to differ from the one in use before that is replaced. */
const RESCALE_FACTOR = 1.5;
/**
 * Least mean by which resources are weighed, in µs per second: a request every 5 s. Below it they
 * count by their number; they are weighed again above the second value.
 */
const LEAST_MEAN = 20;
const LEAST_FIRST_MEAN = 40;
/** Smallest change of a weight that is applied, as a fraction of the weight and of the mean. */
const LEAST_CHANGE = 1 / 16;

interface Figure {
  readonly work: number;
  readonly atMs: number;
}

/**
 * Measured work of the resources of one kind, in microseconds of processor time per second, and the
 * weights that follow from it.
 */
export class KindWork {
  /** Figures by resource, the oldest first. */
  private readonly figures = new Map<string, Figure>();
  private total = 0;
  private meanInUse: number | undefined;

  /** Mean work of a resource by which weights are scaled; undefined without figures. */
  get mean(): number | undefined {
    return this.meanInUse;
  }

  /** Records the measured work of a resource. */
  record(key: string, work: number, nowMs: number): void {
    this.remove(key);
    this.figures.set(key, { work, atMs: nowMs });
    this.total += work;
  }

  /** Removes the figures that are too old; returns the names of their resources. */
  expire(nowMs: number): readonly string[] {
    const expired: string[] = [];
    for (const [key, { atMs }] of this.figures) {
      if (nowMs - atMs < VALID_MS) {
        break;
      }
      expired.push(key);
    }
    expired.forEach((key) => this.remove(key));
    return expired;
  }

  /** Replaces the mean in use if the present one differs much; returns whether it did. */
  rescale(): boolean {
    const { size } = this.figures;
    const present = size === 0 ? 0 : Math.round(this.total / size);
    const inUse = this.meanInUse;
    const least = inUse === undefined ? LEAST_FIRST_MEAN : LEAST_MEAN;
    const mean = present < least ? undefined : present;
    const isNear =
      inUse !== undefined &&
      mean !== undefined &&
      mean < inUse * RESCALE_FACTOR &&
      mean > inUse / RESCALE_FACTOR;
    if (isNear || mean === inUse) {
      return false;
    }
    this.meanInUse = mean;
    return true;
  }

  /** Returns the weight of a resource, a whole number; the mean if its work is not known. */
  getWeight(key: string): number {
    const mean = this.meanInUse ?? 0;
    const work = this.figures.get(key)?.work ?? mean;
    return Math.round(Math.max(work, mean * LEAST_FRACTION));
  }

  /** Whether a resource's weight differs from the applied one by more than noise. */
  differs(key: string, applied: number): boolean {
    const change = Math.abs(this.getWeight(key) - applied);
    return change > Math.max(applied, this.meanInUse ?? 0) * LEAST_CHANGE;
  }

  /** Discards all figures. */
  clear(): void {
    this.figures.clear();
    this.total = 0;
    this.meanInUse = undefined;
  }

  private remove(key: string): void {
    const figure = this.figures.get(key);
    if (figure !== undefined) {
      this.total -= figure.work;
      this.figures.delete(key);
    }
  }
}
