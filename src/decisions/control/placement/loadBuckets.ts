import type { HostId } from '../../../common/ids/index.js';

/** Hosts of one load, the longest at it first. */
interface Bucket {
  readonly plain: Set<HostId>;
  /** Hosts that read replicas as well: the last to be chosen. */
  readonly reading: Set<HostId>;
}

/** Hosts ordered by load, with cheap changes of load; reading ones come last among equals. */
export class LoadBuckets {
  private readonly buckets = new Map<number, Bucket>();
  private lowest = 0;
  private highest = 0;
  private count = 0;

  /** Number of hosts. */
  get size(): number {
    return this.count;
  }

  /** Adds a host. */
  add(host: HostId, load: number, isReading = false): void {
    const bucket = this.buckets.get(load) ?? { plain: new Set(), reading: new Set() };
    (isReading ? bucket.reading : bucket.plain).add(host);
    this.buckets.set(load, bucket);
    this.lowest = this.count === 0 ? load : Math.min(this.lowest, load);
    this.highest = this.count === 0 ? load : Math.max(this.highest, load);
    this.count++;
  }

  /** Removes a host that was added with that load. */
  remove(host: HostId, load: number): void {
    const bucket = this.buckets.get(load);
    if (bucket === undefined || !(bucket.plain.delete(host) || bucket.reading.delete(host))) {
      return;
    }
    this.count--;
    if (bucket.plain.size + bucket.reading.size === 0) {
      this.buckets.delete(load);
      this.shrink();
    }
  }

  /** The host with the least load; the longest at that load among equals without readers. */
  getLeast(): HostId | undefined {
    return this.first(this.lowest);
  }

  /** The host with the highest load. */
  getMost(): HostId | undefined {
    return this.first(this.highest);
  }

  private first(load: number): HostId | undefined {
    const bucket = this.buckets.get(load);
    if (bucket === undefined) {
      return undefined;
    }
    const [host] = bucket.plain.size > 0 ? bucket.plain : bucket.reading;
    return host;
  }

  private shrink(): void {
    if (this.count === 0) {
      return;
    }
    while (!this.buckets.has(this.lowest)) {
      this.lowest++;
    }
    while (!this.buckets.has(this.highest)) {
      this.highest--;
    }
  }
}
