import type { HostId } from '../../../common/ids/index.js';
import type { PlacementHost, PlacementMove, PlacementRequest } from './placementHost.js';
import type { PlacementPolicy } from './placementPolicy.js';

/** Which host carries which resource, as assigned or proposed, with the policy that chooses. */
export class Placement {
  private readonly placed = new Map<string, HostId>();
  private readonly loads = new Map<HostId, number>();

  constructor(private readonly policy: PlacementPolicy) {}

  /** Makes a host eligible. */
  addHost(host: PlacementHost): void {
    this.policy.addHost(host, this.loads.get(host.host) ?? 0);
  }

  /** Makes a host ineligible; what it carries is counted on. */
  removeHost(host: HostId): void {
    this.policy.removeHost(host);
  }

  /** Notes where a resource is; undefined for nowhere. */
  place(key: string, host: HostId | undefined): void {
    const before = this.placed.get(key);
    if (before === host) {
      return;
    }
    if (before !== undefined) {
      this.placed.delete(key);
      this.changeLoad(before, -1);
    }
    if (host !== undefined) {
      this.placed.set(key, host);
      this.changeLoad(host, 1);
    }
  }

  /** Chooses a host for a resource. */
  choose(request: PlacementRequest, nowMs: number): HostId | undefined {
    return this.policy.choose(request, nowMs);
  }

  /** Finds a host that carries too much. */
  findMove(nowMs: number): PlacementMove | undefined {
    return this.policy.findMove(nowMs);
  }

  /** Whether a host is eligible. */
  isEligible(host: HostId): boolean {
    return this.policy.isEligible(host);
  }

  /** Number of eligible hosts. */
  get hostCount(): number {
    return this.policy.hostCount;
  }

  /** What a host carries. */
  getLoad(host: HostId): number {
    return this.loads.get(host) ?? 0;
  }

  private changeLoad(host: HostId, change: number): void {
    const load = this.getLoad(host) + change;
    if (load === 0) {
      this.loads.delete(host);
    } else {
      this.loads.set(host, load);
    }
    this.policy.setLoad(host, load);
  }
}
