import type { HostId } from '../../../common/ids/index.js';
import { HostLoads } from './hostLoads.js';
import type { PlacementHost, PlacementMove, PlacementRequest } from './placementHost.js';
import type { PlacementPolicy } from './placementPolicy.js';

/** Assigned and proposed hosts of resources, with the policy that chooses them. */
export class Placement {
  protected readonly counts = new HostLoads();

  constructor(protected readonly policy: PlacementPolicy) {}

  /** Makes a host eligible for resources. */
  addHost(host: PlacementHost): void {
    this.policy.addHost(host, this.getLoad(host.host));
  }

  /** Makes a host ineligible; its resources are still counted. */
  removeHost(host: HostId): void {
    this.policy.removeHost(host);
  }

  /** Records the host of a resource; undefined for none. */
  place(key: string, host: HostId | undefined): void {
    for (const changed of this.counts.place(key, host)) {
      this.policy.setLoad(changed, this.getLoad(changed));
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

  /** Returns the load of a host: the number of its resources, unless they are weighed. */
  getLoad(host: HostId): number {
    return this.counts.get(host);
  }
}
