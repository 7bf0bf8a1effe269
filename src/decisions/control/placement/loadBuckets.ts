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
  private lowestLoad = 0;
  private highestLoad = 0;
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
    this.lowestLoad = this.count === 0 ? load : Math.min(this.lowestLoad, load);
    this.highestLoad = this.count === 0 ? load : Math.max(this.highestLoad, load);
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
      this.updateBounds();
    }
  }

  /** The host with the least load; the longest at that load among equals without readers. */
  getLeastLoaded(): HostId | undefined {
    return this.getFirst(this.lowestLoad);
  }

  /** The host with the highest load. */
  getMostLoaded(): HostId | undefined {
    return this.getFirst(this.highestLoad);
  }

  private getFirst(load: number): HostId | undefined {
    const bucket = this.buckets.get(load);
    if (bucket === undefined) {
      return undefined;
    }
    const [host] = bucket.plain.size > 0 ? bucket.plain : bucket.reading;
    return host;
  }

  private updateBounds(): void {
    if (this.count === 0) {
      return;
    }
    while (!this.buckets.has(this.lowestLoad)) {
      this.lowestLoad++;
    }
    while (!this.buckets.has(this.highestLoad)) {
      this.highestLoad--;
    }
  }
}
