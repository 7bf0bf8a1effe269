import type { HostId } from '../../../common/ids/index.js';

/** Hosts with equal load, in the order in which they reached it. */
interface Bucket {
  /** Hosts that serve no reads of replicas, chosen first. */
  readonly plain: Set<HostId>;
  /** Hosts that also serve reads of replicas, chosen last. */
  readonly reading: Set<HostId>;
}

/** Hosts ordered by load, with cheap updates; among hosts of equal load, readers come last. */
export class LoadBuckets {
  private readonly buckets = new Map<number, Bucket>();
  /** Loads that any host has, in ascending order. */
  private readonly loads: number[] = [];
  private count = 0;

  get size(): number {
    return this.count;
  }

  add(host: HostId, load: number, isReading = false): void {
    let bucket = this.buckets.get(load);
    if (bucket === undefined) {
      bucket = { plain: new Set(), reading: new Set() };
      this.buckets.set(load, bucket);
      this.loads.splice(this.findIndex(load), 0, load);
    }
    (isReading ? bucket.reading : bucket.plain).add(host);
    this.count++;
  }

  /** Removes a host; no effect unless it was added with that load. */
  remove(host: HostId, load: number): void {
    const bucket = this.buckets.get(load);
    if (bucket === undefined || !(bucket.plain.delete(host) || bucket.reading.delete(host))) {
      return;
    }
    this.count--;
    if (bucket.plain.size + bucket.reading.size === 0) {
      this.buckets.delete(load);
      this.loads.splice(this.findIndex(load), 1);
    }
  }

  /**
   * Returns the host with the lowest load; among equals, one that is no reader and has had that
   * load longest.
   */
  getLeastLoaded(): HostId | undefined {
    return this.getFirst(this.loads[0]);
  }

  /** Returns the host with the highest load, with the same order among equals. */
  getMostLoaded(): HostId | undefined {
    return this.getFirst(this.loads.at(-1));
  }

  /** Returns the hosts with the highest loads, at most `count`, the highest first. */
  getMostLoadedHosts(count: number): readonly HostId[] {
    const hosts: HostId[] = [];
    for (let index = this.loads.length - 1; index >= 0 && hosts.length < count; index--) {
      const bucket = this.buckets.get(this.loads[index] ?? 0);
      for (const part of bucket === undefined ? [] : [bucket.plain, bucket.reading]) {
        for (const host of part) {
          if (hosts.length === count) {
            return hosts;
          }
          hosts.push(host);
        }
      }
    }
    return hosts;
  }

  private getFirst(load: number | undefined): HostId | undefined {
    const bucket = load === undefined ? undefined : this.buckets.get(load);
    if (bucket === undefined) {
      return undefined;
    }
    const [host] = bucket.plain.size > 0 ? bucket.plain : bucket.reading;
    return host;
  }

  /** Returns the number of loads below a load: its place among them. */
  private findIndex(load: number): number {
    let low = 0;
    let high = this.loads.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this.loads[middle] ?? Infinity) < load) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
