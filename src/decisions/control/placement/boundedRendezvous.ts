import type { FailureDomain, HostId } from '../../../common/ids/index.js';
import type { PlacementHost, PlacementRequest } from './placementHost.js';
import { PlacementPolicy } from './placementPolicy.js';

const LOAD_BOUND = 1.25;

/**
 * Rendezvous hashing with bounded loads: the host with the highest hash of resource and host whose
 * load is below the bound, from the near failure domain first.
 */
export class BoundedRendezvous extends PlacementPolicy {
  private readonly hostsByDomain = new Map<FailureDomain, Map<HostId, PlacementHost>>();

  override addHost(host: PlacementHost, load: number): void {
    super.addHost(host, load);
    const hosts = this.hostsByDomain.get(host.domain) ?? new Map<HostId, PlacementHost>();
    hosts.set(host.host, host);
    this.hostsByDomain.set(host.domain, hosts);
  }

  override removeHost(id: HostId): void {
    const host = this.hosts.get(id);
    super.removeHost(id);
    if (host !== undefined) {
      this.hostsByDomain.get(host.domain)?.delete(id);
    }
  }

  protected override chooseWarm(request: PlacementRequest): HostId | undefined {
    const near = request.near === undefined ? undefined : this.hostsByDomain.get(request.near);
    return (
      (near === undefined ? undefined : this.chooseFrom(near.values(), request.key)) ??
      this.chooseFrom(this.hosts.values(), request.key) ??
      this.warm.getLeastLoaded()
    );
  }

  protected override isOverloaded(from: HostId): boolean {
    return this.getLoad(from) > this.getBound();
  }

  private getBound(): number {
    return Math.ceil((this.getMean() / this.unit + 1) * LOAD_BOUND) * this.unit;
  }

  private chooseFrom(hosts: Iterable<PlacementHost>, key: string): HostId | undefined {
    const bound = this.getBound();
    let best: HostId | undefined;
    let bestScore = -1;
    for (const { host } of hosts) {
      const score = this.getLoad(host) < bound ? hashPair(key, host) : -1;
      if (score > bestScore) {
        best = host;
        bestScore = score;
      }
    }
    return best;
  }
}

function hashPair(key: string, host: string): number {
  let hash = hashText(0x811c9dc5, key);
  hash = hashText(hash ^ 0x9e3779b9, host);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

function hashText(seed: number, text: string): number {
  let hash = seed;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash;
}
