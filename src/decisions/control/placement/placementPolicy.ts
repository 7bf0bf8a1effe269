import type { FailureDomain, HostId } from '../../../common/ids/index.js';
import { LoadBuckets } from './loadBuckets.js';
import type { PlacementHost, PlacementMove, PlacementRequest } from './placementHost.js';

const MINIMUM_MOVE_DIFFERENCE = 2;
const MOVE_FRACTION_OF_MEAN = 0.25;
/**
 * Fraction of hosts in slow start from which on slow start ends for all of them. Slow start
 * protects a host that joins a running fleet; while the fleet itself starts, it must not leave all
 * resources to the few hosts that joined first.
 */
const STARTING_FLEET_FRACTION = 0.5;

/** Policy that chooses a host for each resource, based on an index of the hosts by load. */
export abstract class PlacementPolicy {
  protected readonly hosts = new Map<HostId, PlacementHost>();
  protected readonly loads = new Map<HostId, number>();
  protected readonly warm = new LoadBuckets();
  protected readonly warmByDomain = new Map<FailureDomain, LoadBuckets>();
  private readonly warming = new Set<HostId>();
  private readonly reading = new Set<HostId>();
  /** Load of a resource of mean weight; 1 where resources are counted. */
  protected unit = 1;
  private totalLoad = 0;

  /** Adds an eligible host with its current load. */
  addHost(host: PlacementHost, load: number): void {
    this.removeHost(host.host);
    this.hosts.set(host.host, host);
    this.loads.set(host.host, load);
    this.totalLoad += load;
    if (host.warmAtMs > host.sinceMs) {
      this.warming.add(host.host);
    } else {
      this.index(host, load);
    }
  }

  /** Removes a host that is no longer eligible. */
  removeHost(id: HostId): void {
    const host = this.hosts.get(id);
    if (host === undefined) {
      return;
    }
    const load = this.getLoad(id);
    this.totalLoad -= load;
    if (!this.warming.delete(id)) {
      this.unindex(host, load);
    }
    this.hosts.delete(id);
    this.loads.delete(id);
  }

  /** Sets the load of an eligible host. */
  setLoad(id: HostId, load: number): void {
    const host = this.hosts.get(id);
    if (host === undefined) {
      return;
    }
    const before = this.getLoad(id);
    this.totalLoad += load - before;
    this.loads.set(id, load);
    if (!this.warming.has(id)) {
      this.unindex(host, before);
      this.index(host, load);
    }
  }

  /** Sets the load that a resource of mean weight is; the loads of all hosts are set after it. */
  setUnit(unit: number): void {
    this.unit = unit;
  }

  /** Returns all eligible hosts. */
  getHosts(): Iterable<HostId> {
    return this.hosts.keys();
  }

  /** Returns the host to which load would be moved, whatever its failure domain. */
  getLeastLoaded(nowMs: number): HostId | undefined {
    this.finishWarming(nowMs);
    return this.chooseWarming({ key: '' }, nowMs) ?? this.warm.getLeastLoaded();
  }

  /** Returns the failure domain of an eligible host. */
  getDomain(host: HostId): FailureDomain | undefined {
    return this.hosts.get(host)?.domain;
  }

  /** Returns the load from which on a host is overloaded if another one has the given load. */
  getOverload(load: number): number {
    return load + this.getSlack() + this.unit;
  }

  /**
   * Sets whether a host also serves reads of replicas; among hosts of equal load it is then chosen
   * last.
   */
  setReading(id: HostId, isReading: boolean): void {
    const host = this.hosts.get(id);
    const isIndexed = host !== undefined && !this.warming.has(id);
    if (isIndexed) {
      this.unindex(host, this.getLoad(id));
    }
    this.reading[isReading ? 'add' : 'delete'](id);
    if (isIndexed) {
      this.index(host, this.getLoad(id));
    }
  }

  /** Chooses a host for a resource; undefined when no host is eligible. */
  choose(request: PlacementRequest, nowMs: number): HostId | undefined {
    const avoided = request.avoid === undefined ? undefined : this.hosts.get(request.avoid);
    if (avoided === undefined || this.hosts.size === 1) {
      return this.chooseAny(request, nowMs);
    }
    const load = this.getLoad(avoided.host);
    this.removeHost(avoided.host);
    const host = this.chooseAny(request, nowMs);
    this.addHost(avoided, load);
    return host;
  }

  /**
   * Finds an overloaded host and a host to move one of its resources to; undefined while the load
   * is balanced.
   */
  findMove(nowMs: number): PlacementMove | undefined {
    return this.findMoveWithinDomain(this.getLeastLoaded(nowMs)) ?? this.findMoveAcrossDomains();
  }

  /**
   * Whether a host has so much load that a resource taken from it would be placed on the other
   * host.
   */
  protected isOverloaded(from: HostId, to: HostId): boolean {
    return this.getLoad(from) > this.getOverload(this.getLoad(to));
  }

  /** Finds a move to a host with little load from the most loaded one of its failure domain. */
  private findMoveWithinDomain(to: HostId | undefined): PlacementMove | undefined {
    const domain = to === undefined ? undefined : this.hosts.get(to)?.domain;
    const from = domain === undefined ? undefined : this.warmByDomain.get(domain)?.getMostLoaded();
    if (from === undefined || to === undefined) {
      return undefined;
    }
    return this.isOverloaded(from, to) ? { from, to } : undefined;
  }

  /** Finds a move from the most loaded host when its whole failure domain is overloaded. */
  private findMoveAcrossDomains(): PlacementMove | undefined {
    const from = this.warm.getMostLoaded();
    const to = this.warm.getLeastLoaded();
    const domain = from === undefined ? undefined : this.hosts.get(from)?.domain;
    const nearest =
      domain === undefined ? undefined : this.warmByDomain.get(domain)?.getLeastLoaded();
    if (from === undefined || to === undefined || nearest === undefined) {
      return undefined;
    }
    return this.isOverloaded(from, to) && this.isWorthMoving(from, nearest, to)
      ? { from, to }
      : undefined;
  }

  /**
   * Whether a move across failure domains improves the balance; otherwise it would only swap two
   * resources of the same failure domain.
   */
  private isWorthMoving(from: HostId, nearest: HostId, to: HostId): boolean {
    return (
      this.getLoad(from) - this.getLoad(nearest) >= MINIMUM_MOVE_DIFFERENCE * this.unit ||
      this.getLoad(nearest) - this.getLoad(to) > this.getSlack()
    );
  }

  isEligible(host: HostId): boolean {
    return this.hosts.has(host);
  }

  /** Number of eligible hosts. */
  get hostCount(): number {
    return this.hosts.size;
  }

  /** Chooses among the hosts whose slow start has ended. */
  protected abstract chooseWarm(request: PlacementRequest): HostId | undefined;

  /** Returns the load of an eligible host: its resources, or their work in the unit in use. */
  getLoad(host: HostId): number {
    return this.loads.get(host) ?? 0;
  }

  /** Returns the mean load of the eligible hosts. */
  protected getMean(): number {
    return this.hosts.size === 0 ? 0 : this.totalLoad / this.hosts.size;
  }

  /** Whether there is less than one resource of mean weight for each host. */
  protected get isSparse(): boolean {
    return this.getMean() < this.unit;
  }

  /** Returns the load up to which a host counts as one without a resource while these are few. */
  protected getSparseSlack(): number {
    return Math.floor(this.unit / 2);
  }

  /**
   * Returns the load difference up to which neither a move nor another failure domain is
   * worthwhile.
   */
  protected getSlack(): number {
    const resources = this.getMean() / this.unit;
    const slack = Math.max(MINIMUM_MOVE_DIFFERENCE, Math.ceil(resources * MOVE_FRACTION_OF_MEAN));
    return slack * this.unit;
  }

  private chooseAny(request: PlacementRequest, nowMs: number): HostId | undefined {
    this.finishWarming(nowMs);
    const warm = this.chooseWarming(request, nowMs) ?? this.chooseWarm(request);
    if (warm === undefined) {
      return this.chooseAnyWarming();
    }
    const wouldBeSecond = this.isSparse && this.getLoad(warm) > this.getSparseSlack();
    return (wouldBeSecond ? this.chooseIdleWarming(request) : undefined) ?? warm;
  }

  /**
   * Chooses a host in slow start that has no resource, from the near failure domain if possible.
   */
  private chooseIdleWarming({ near }: PlacementRequest): HostId | undefined {
    const idle = [...this.warming].filter((id) => this.getLoad(id) === 0);
    return idle.find((id) => this.hosts.get(id)?.domain === near) ?? idle[0];
  }

  /**
   * Chooses a host in slow start whose load is below its share of the mean, which grows linearly
   * with time.
   */
  private chooseWarming(request: PlacementRequest, nowMs: number): HostId | undefined {
    const mean = this.getMean() / this.unit;
    for (const id of this.warming) {
      const host = this.hosts.get(id);
      if (host === undefined || (request.near !== undefined && request.near !== host.domain)) {
        continue;
      }
      const progress = (nowMs - host.sinceMs) / (host.warmAtMs - host.sinceMs);
      if (this.getLoad(id) < Math.floor(mean * progress) * this.unit) {
        return id;
      }
    }
    return undefined;
  }

  private chooseAnyWarming(): HostId | undefined {
    let least: HostId | undefined;
    for (const id of this.warming) {
      if (least === undefined || this.getLoad(id) < this.getLoad(least)) {
        least = id;
      }
    }
    return least;
  }

  /** Ends the slow starts that are due, or all of them while the fleet itself starts. */
  private finishWarming(nowMs: number): void {
    const isFleetStarting = this.warming.size >= this.hosts.size * STARTING_FLEET_FRACTION;
    for (const id of this.warming) {
      const host = this.hosts.get(id);
      if (host !== undefined && (isFleetStarting || host.warmAtMs <= nowMs)) {
        this.warming.delete(id);
        this.index(host, this.getLoad(id));
      }
    }
  }

  private index(host: PlacementHost, load: number): void {
    const domain = this.warmByDomain.get(host.domain) ?? new LoadBuckets();
    const isReading = this.reading.has(host.host);
    domain.add(host.host, load, isReading);
    this.warmByDomain.set(host.domain, domain);
    this.warm.add(host.host, load, isReading);
  }

  private unindex(host: PlacementHost, load: number): void {
    this.warmByDomain.get(host.domain)?.remove(host.host, load);
    this.warm.remove(host.host, load);
  }
}
