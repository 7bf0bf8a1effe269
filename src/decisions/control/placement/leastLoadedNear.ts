import type { HostId } from '../../../common/ids/index.js';
import type { PlacementRequest } from './placementHost.js';
import { PlacementPolicy } from './placementPolicy.js';

/** The least loaded host of the near failure domain, unless another carries much less. */
export class LeastLoadedNear extends PlacementPolicy {
  protected override chooseWarm(request: PlacementRequest): HostId | undefined {
    const least = this.warm.getLeastLoaded();
    const domain = request.near === undefined ? undefined : this.warmByDomain.get(request.near);
    const near = domain?.getLeastLoaded();
    if (near === undefined || least === undefined) {
      return least;
    }
    // While there are hosts without a resource, none is given a second one for being near.
    const slack = this.getMean() < 1 ? 0 : this.getSlack();
    return this.getLoad(near) - this.getLoad(least) > slack ? least : near;
  }
}
