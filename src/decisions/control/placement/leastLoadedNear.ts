import type { HostId } from '../../../common/ids/index.js';
import type { PlacementRequest } from './placementHost.js';
import { PlacementPolicy } from './placementPolicy.js';

/**
 * Policy that chooses the least loaded host of the near failure domain, unless a host elsewhere has
 * a much lower load.
 */
export class LeastLoadedNear extends PlacementPolicy {
  protected override chooseWarm(request: PlacementRequest): HostId | undefined {
    const least = this.warm.getLeastLoaded();
    const domain = request.near === undefined ? undefined : this.warmByDomain.get(request.near);
    const near = domain?.getLeastLoaded();
    if (near === undefined || least === undefined) {
      return least;
    }
    // While some hosts have no resource, no host is given a second one just because it is near.
    const slack = this.isSparse ? this.getSparseSlack() : this.getSlack();
    return this.getLoad(near) - this.getLoad(least) > slack ? least : near;
  }
}
