import type { HostId } from '../../../common/ids/index.js';

/** Placement of resources on hosts, with the number of resources of each host. */
export class HostLoads {
  private readonly hostByResource = new Map<string, HostId>();
  private readonly loads = new Map<HostId, number>();

  /** Records the host of a resource, undefined for none; returns the hosts whose load changed. */
  place(key: string, host: HostId | undefined): readonly HostId[] {
    const before = this.hostByResource.get(key);
    if (before === host) {
      return [];
    }
    const changed: HostId[] = [];
    if (before !== undefined) {
      this.hostByResource.delete(key);
      this.adjustLoad(before, -1);
      changed.push(before);
    }
    if (host !== undefined) {
      this.hostByResource.set(key, host);
      this.adjustLoad(host, 1);
      changed.push(host);
    }
    return changed;
  }

  /** Returns the number of resources of a host. */
  get(host: HostId): number {
    return this.loads.get(host) ?? 0;
  }

  /** Removes all resources; returns the hosts that had any. */
  clear(): readonly HostId[] {
    const hosts = [...this.loads.keys()];
    this.hostByResource.clear();
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
