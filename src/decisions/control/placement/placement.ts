import type { HostId } from '../../../common/ids/index.js';
import { HostLoads } from './hostLoads.js';
import type { PlacementHost, PlacementMove, PlacementRequest } from './placementHost.js';
import type { PlacementPolicy } from './placementPolicy.js';

/** Assigned and proposed hosts of resources, with the policy that chooses them. */
export class Placement {
  private readonly loads = new HostLoads();

  constructor(private readonly policy: PlacementPolicy) {}

  /** Makes a host eligible for resources. */
  addHost(host: PlacementHost): void {
    this.policy.addHost(host, this.loads.get(host.host));
  }

  /** Makes a host ineligible; its resources are still counted. */
  removeHost(host: HostId): void {
    this.policy.removeHost(host);
  }

  /** Records the host of a resource; undefined for none. */
  place(key: string, host: HostId | undefined): void {
    for (const changed of this.loads.place(key, host)) {
      this.policy.setLoad(changed, this.loads.get(changed));
    }
  }

  /**
   * Records whether a host serves reads for replicas of other groups; such a host is chosen last
   * among equals.
   */
  setReading(host: HostId, isReading: boolean): void {
    this.policy.setReading(host, isReading);
  }

  /** Chooses a host for a resource; undefined when no host is eligible. */
  choose(request: PlacementRequest, nowMs: number): HostId | undefined {
    return this.policy.choose(request, nowMs);
  }

  /**
   * Finds an overloaded host and a host to move one of its resources to; undefined while the load
   * is balanced.
   */
  findMove(nowMs: number): PlacementMove | undefined {
    return this.policy.findMove(nowMs);
  }

  isEligible(host: HostId): boolean {
    return this.policy.isEligible(host);
  }

  /** Number of eligible hosts. */
  get hostCount(): number {
    return this.policy.hostCount;
  }

  /** Returns the number of resources of a host. */
  getLoad(host: HostId): number {
    return this.loads.get(host);
  }
}
