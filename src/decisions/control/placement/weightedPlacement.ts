import type { FailureDomain, HostId } from '../../../common/ids/index.js';
import { UNITS_PER_RESOURCE, type FleetWork, type WorkListener } from './fleetWork.js';
import { LoadBuckets } from './loadBuckets.js';
import { Placement } from './placement.js';
import type { PlacementHost, PlacementMove, PlacementRequest } from './placementHost.js';
import type { PlacementPolicy } from './placementPolicy.js';
import { RecentMoves } from './recentMoves.js';
import type { ResourceKind } from './resourceKind.js';

/** Most hosts and, for each of them, most resources that are looked at for a move. */
const MAXIMUM_SOURCES = 32;
const MAXIMUM_CANDIDATES = 4;
/**
 * Distance that a move has to leave between two hosts, as a fraction of the load of the first one,
 * besides one resource of mean weight. Averages over 30 s of demand that swings by a quarter in
 * waves of 11 s swing by 2%.
 */
const DISTANCE_FRACTION = 1 / 8;
/** Share of processor time from which on a host may be busy with work that has no weight. */
const BUSY_SHARE = 0.7;

/** Resource that may be moved. */
export interface MovableResource {
  readonly key: string;
  /** Preferred failure domain. */
  readonly near?: FailureDomain;
  /** Whether the resource must stay in the failure domain of its host. */
  readonly staysInDomain?: boolean;
}

/** Move of one resource for its load. */
export interface LoadMove<Resource extends MovableResource> extends PlacementMove {
  readonly resource: Resource;
}

/**
 * Placement by measured work, once it is known; by number before. All resources of a host count, also
 * those of other kinds.
 */
export class WeightedPlacement extends Placement implements WorkListener {
  /** Eligible hosts that have resources of this kind, by load. */
  private readonly sources = new LoadBuckets();
  private readonly sourceLoads = new Map<HostId, number>();
  private readonly moves = new RecentMoves();
  /** Hosts whose work changed since the last decision; several changes of one host count once. */
  private readonly changed = new Set<HostId>();

  constructor(
    policy: PlacementPolicy,
    private readonly kind: ResourceKind,
    private readonly work: FleetWork,
  ) {
    super(policy);
    work.subscribe(this);
  }

  override addHost(host: PlacementHost): void {
    super.addHost(host);
    this.updateSource(host.host);
  }

  override removeHost(host: HostId): void {
    super.removeHost(host);
    this.updateSource(host);
  }

  override place(key: string, host: HostId | undefined): void {
    this.work.place(this.kind, key, host);
    for (const changed of this.counts.place(key, host)) {
      this.updateHost(changed);
    }
  }

  override getLoad(host: HostId): number {
    return this.isWeighted ? this.work.getLoad(this.kind, host) : super.getLoad(host);
  }

  override choose(request: PlacementRequest, nowMs: number): HostId | undefined {
    this.updateChanged();
    return super.choose(request, nowMs);
  }

  override findMove(nowMs: number): PlacementMove | undefined {
    this.updateChanged();
    return super.findMove(nowMs);
  }

  hostChanged(host: HostId): void {
    if (this.isWeighted) {
      this.changed.add(host);
    }
  }

  unitChanged(): void {
    this.changed.clear();
    this.policy.setUnit(this.isWeighted ? UNITS_PER_RESOURCE : 1);
    for (const host of this.policy.getHosts()) {
      this.updateHost(host);
    }
  }

  /** Whether resources are placed by their work. */
  get isWeighted(): boolean {
    return this.work.isKnown(this.kind);
  }

  /** Returns the weight of a placed resource in microseconds of processor time per second. */
  getWork(key: string): number {
    return this.work.getResourceWork(key);
  }

  /** Whether a resource was moved for its load less than 60 s ago. */
  isResting(key: string, nowMs: number): boolean {
    return this.moves.has(key, nowMs);
  }

  /** Records that a resource is moved for its load. */
  recordMove(key: string, nowMs: number): void {
    this.moves.record(key, nowMs);
  }

  /**
   * Finds a resource whose move leaves two hosts clearly closer together; undefined while there is
   * none.
   */
  findLoadMove<Resource extends MovableResource>(
    getResources: (host: HostId) => readonly Resource[],
    nowMs: number,
  ): LoadMove<Resource> | undefined {
    this.updateChanged();
    const least = this.policy.getLeastLoaded(nowMs);
    if (least === undefined) {
      return undefined;
    }
    const leastLoad = this.policy.getLoad(least);
    const overload = this.policy.getOverload(leastLoad);
    for (const from of this.sources.getMostLoadedHosts(MAXIMUM_SOURCES)) {
      const load = this.policy.getLoad(from);
      if (load <= overload) {
        return undefined;
      }
      const resources = getResources(from).filter(({ key }) => !this.isResting(key, nowMs));
      for (const resource of this.chooseCandidates(resources, from, load - leastLoad)) {
        const to = this.findTarget(resource, from, nowMs);
        if (to !== undefined) {
          return { resource, from, to };
        }
      }
    }
    return undefined;
  }

  /** Chooses the resources whose move would leave the hosts closest together. */
  private chooseCandidates<Resource extends MovableResource>(
    resources: readonly Resource[],
    from: HostId,
    distance: number,
  ): Resource[] {
    const margin = getMargin(this.policy.getLoad(from));
    return resources
      .map((resource) => {
        const load = this.work.getResourceLoad(this.kind, resource.key, from);
        return { resource, load, rest: Math.abs(distance - 2 * load) };
      })
      .filter(({ load }) => load > 0 && distance - load >= margin)
      .sort((first, second) => first.rest - second.rest)
      .slice(0, MAXIMUM_CANDIDATES)
      .map(({ resource }) => resource);
  }

  /** Returns the host that a resource would be placed on, if its move is worthwhile. */
  private findTarget(
    { key, near, staysInDomain }: MovableResource,
    from: HostId,
    nowMs: number,
  ): HostId | undefined {
    const to = this.policy.choose(near === undefined ? { key } : { key, near }, nowMs);
    if (to === undefined || to === from || !this.isWorthMoving(key, from, to)) {
      return undefined;
    }
    const leavesDomain = this.policy.getDomain(from) !== this.policy.getDomain(to);
    const isAllowed = staysInDomain !== true || !leavesDomain;
    return isAllowed && !this.isBusier(to, from, nowMs) ? to : undefined;
  }

  /**
   * Whether a move leaves two hosts closer together, by so much that the noise of the figures does
   * not undo it.
   */
  private isWorthMoving(key: string, from: HostId, to: HostId): boolean {
    const load = this.policy.getLoad(from);
    const target = this.policy.getLoad(to);
    const moved = this.work.getResourceLoad(this.kind, key, to);
    const distance = load - (target + moved);
    return load > this.policy.getOverload(target) && distance >= getMargin(load);
  }

  /**
   * Whether a host has most of its processor time in use, and more than another one that carries
   * more: it is busy with work that belongs to no resource, such as that for callers.
   */
  private isBusier(host: HostId, other: HostId, nowMs: number): boolean {
    const share = this.work.getProcessorShare(host, nowMs);
    const otherShare = this.work.getProcessorShare(other, nowMs);
    return share !== undefined && share >= BUSY_SHARE && share > (otherShare ?? 0);
  }

  private updateChanged(): void {
    this.changed.forEach((host) => this.updateHost(host));
    this.changed.clear();
  }

  private updateHost(host: HostId): void {
    this.changed.delete(host);
    const load = this.getLoad(host);
    if (this.policy.isEligible(host) && this.policy.getLoad(host) !== load) {
      this.policy.setLoad(host, load);
    }
    this.updateSource(host);
  }

  private updateSource(host: HostId): void {
    const before = this.sourceLoads.get(host);
    const isSource = this.policy.isEligible(host) && this.counts.get(host) > 0;
    const load = isSource ? this.policy.getLoad(host) : undefined;
    if (before === load) {
      return;
    }
    if (before !== undefined) {
      this.sources.remove(host, before);
      this.sourceLoads.delete(host);
    }
    if (load !== undefined) {
      this.sources.add(host, load);
      this.sourceLoads.set(host, load);
    }
  }
}

/** Returns the distance that a move has to leave to the host that it leads to. */
function getMargin(load: number): number {
  return Math.max(UNITS_PER_RESOURCE, load * DISTANCE_FRACTION);
}
