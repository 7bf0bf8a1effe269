import type { HostId } from '../../../common/ids/index.js';

interface PlacedResource {
  readonly host: HostId;
  weight: number;
}

/** Placement of resources on hosts, with the sum of the weights of each host's resources. */
export class HostLoads {
  private readonly resources = new Map<string, PlacedResource>();
  private readonly loads = new Map<HostId, number>();

  /**
   * Records the host of a resource, undefined for none, and its weight, a whole number; returns the
   * hosts whose load changed.
   */
  place(key: string, host: HostId | undefined, weight = 1): readonly HostId[] {
    const before = this.resources.get(key);
    if (before?.host === host) {
      return [];
    }
    const changed: HostId[] = [];
    if (before !== undefined) {
      this.resources.delete(key);
      this.adjustLoad(before.host, -before.weight);
      changed.push(before.host);
    }
    if (host !== undefined) {
      this.resources.set(key, { host, weight });
      this.adjustLoad(host, weight);
      changed.push(host);
    }
    return changed;
  }

  /** Sets the weight of a placed resource; returns the host whose load changed, if any. */
  setWeight(key: string, weight: number): HostId | undefined {
    const before = this.resources.get(key);
    if (before === undefined || before.weight === weight) {
      return undefined;
    }
    this.adjustLoad(before.host, weight - before.weight);
    before.weight = weight;
    return before.host;
  }

  /** Returns the sum of the weights of a host's resources. */
  get(host: HostId): number {
    return this.loads.get(host) ?? 0;
  }

  /** Returns the weight of a placed resource; undefined for one without a host. */
  getWeight(key: string): number | undefined {
    return this.resources.get(key)?.weight;
  }

  /** Removes all resources; returns the hosts that had any. */
  clear(): readonly HostId[] {
    const hosts = [...this.loads.keys()];
    this.resources.clear();
    this.loads.clear();
    return hosts;
  }

  private adjustLoad(host: HostId, delta: number): void {
    const load = this.get(host) + delta;
    if (load === 0) {
      this.loads.delete(host);
    } else {
      this.loads.set(host, load);
    }
  }
}
