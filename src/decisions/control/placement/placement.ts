import type { HostId } from '../../../common/ids/index.js';
import { HostLoads } from './hostLoads.js';
import type { PlacementHost, PlacementMove, PlacementRequest } from './placementHost.js';
import type { PlacementPolicy } from './placementPolicy.js';

/** Which host carries which resource, as assigned or proposed, with the policy that chooses. */
export class Placement {
  private readonly loads = new HostLoads();

  constructor(private readonly policy: PlacementPolicy) {}

  /** Makes a host eligible. */
  addHost(host: PlacementHost): void {
    this.policy.addHost(host, this.loads.get(host.host));
  }

  /** Makes a host ineligible; what it carries is counted on. */
  removeHost(host: HostId): void {
    this.policy.removeHost(host);
  }

  /** Notes where a resource is; undefined for nowhere. */
  place(key: string, host: HostId | undefined): void {
    for (const changed of this.loads.place(key, host)) {
      this.policy.setLoad(changed, this.loads.get(changed));
    }
  }

  /** Notes whether a host reads replicas of other groups: the last among equals to be given more. */
  setReading(host: HostId, isReading: boolean): void {
    this.policy.setReading(host, isReading);
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
    return this.loads.get(host);
  }
}
