import type { HostId } from '../../../common/ids/index.js';

/** Which host carries which resource, and how many each carries. */
export class HostLoads {
  private readonly hostByResource = new Map<string, HostId>();
  private readonly loads = new Map<HostId, number>();

  /** Notes where a resource is, undefined for nowhere; gives the hosts whose load changed. */
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

  /** What a host carries. */
  get(host: HostId): number {
    return this.loads.get(host) ?? 0;
  }

  /** Forgets all resources; gives the hosts that carried some. */
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
