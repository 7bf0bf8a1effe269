import type { FailureDomain, HostId } from '../../../common/ids/index.js';
import { HostLoads } from './hostLoads.js';

/**
 * Maximum number of replicas that a host reads: with more, its link would carry as much traffic as
 * a holder's.
 */
export const MAXIMUM_READERS_PER_HOST = 2;

/** Most hosts of one failure domain whose loads are compared. */
const MAXIMUM_COMPARED = 64;

/**
 * Eligible hosts that hold no group and can read more replicas, by the number that they read
 * already.
 */
export class SpareHosts {
  private readonly eligible = new Map<HostId, FailureDomain>();
  private readonly groups = new HostLoads();
  private readonly readers = new HostLoads();
  /** Hosts that can read more replicas, by number of replicas read and then by failure domain. */
  private readonly spare = createLevels();

  constructor(
    /** Returns the load of a host, to choose the least loaded one among equals; absent for none. */
    private readonly getLoad?: (host: HostId) => number,
  ) {}

  /** Number of hosts that can read more replicas. */
  get size(): number {
    return this.spare.reduce((sum, level) => sum + countHosts(level), 0);
  }

  /** Makes a host eligible for reading replicas. */
  addHost(host: HostId, domain: FailureDomain): void {
    this.removeHost(host);
    this.eligible.set(host, domain);
    this.refresh(host);
  }

  /** Makes a host ineligible; its groups and replicas are still counted. */
  removeHost(host: HostId): void {
    const domain = this.eligible.get(host);
    if (domain !== undefined) {
      this.unindex(host, domain);
      this.eligible.delete(host);
    }
  }

  /** Records which host holds a group; undefined for none. */
  placeGroup(key: string, host: HostId | undefined): void {
    for (const changed of this.groups.place(key, host)) {
      this.refresh(changed);
    }
  }

  /**
   * Records which host is a replica's reader, undefined for none; returns the hosts whose number of
   * replicas changed.
   */
  placeReader(key: string, host: HostId | undefined): readonly HostId[] {
    const changed = this.readers.place(key, host);
    changed.forEach((each) => this.refresh(each));
    return changed;
  }

  holdsGroup(host: HostId): boolean {
    return this.groups.get(host) > 0;
  }

  /** Returns the number of replicas that a host reads. */
  countReaders(host: HostId): number {
    return this.readers.get(host);
  }

  /**
   * Chooses a host that reads the fewest replicas, from the near failure domain if possible;
   * undefined when no host is spare.
   */
  choose(near: FailureDomain): HostId | undefined {
    const level = this.spare.find((each) => each.size > 0);
    const [domain] = level?.keys() ?? [];
    const hosts = level?.get(near) ?? (domain === undefined ? undefined : level?.get(domain));
    return this.chooseLeastLoaded(hosts);
  }

  /**
   * Chooses a host of the near failure domain even if hosts elsewhere read fewer replicas; undefined
   * when no host is spare.
   */
  chooseNear(near: FailureDomain): HostId | undefined {
    const hosts = this.spare.find((level) => level.has(near))?.get(near);
    return this.chooseLeastLoaded(hosts) ?? this.choose(near);
  }

  /** Clears the recorded groups and replicas; returns the hosts that read replicas. */
  clear(): readonly HostId[] {
    this.groups.clear();
    const hosts = this.readers.clear();
    for (const host of this.eligible.keys()) {
      this.refresh(host);
    }
    return hosts;
  }

  private chooseLeastLoaded(hosts: ReadonlySet<HostId> = new Set()): HostId | undefined {
    const { getLoad } = this;
    if (getLoad === undefined) {
      const [first] = hosts;
      return first;
    }
    let least: HostId | undefined;
    let leastLoad = Infinity;
    let compared = 0;
    for (const host of hosts) {
      const load = getLoad(host);
      if (load < leastLoad) {
        least = host;
        leastLoad = load;
      }
      compared += 1;
      if (compared === MAXIMUM_COMPARED) {
        break;
      }
    }
    return least;
  }

  private refresh(host: HostId): void {
    const domain = this.eligible.get(host);
    if (domain === undefined) {
      return;
    }
    this.unindex(host, domain);
    const level = this.spare[this.countReaders(host)];
    if (level !== undefined && !this.holdsGroup(host)) {
      const hosts = level.get(domain) ?? new Set<HostId>();
      hosts.add(host);
      level.set(domain, hosts);
    }
  }

  private unindex(host: HostId, domain: FailureDomain): void {
    for (const level of this.spare) {
      const hosts = level.get(domain);
      hosts?.delete(host);
      if (hosts?.size === 0) {
        level.delete(domain);
      }
    }
  }
}

type Level = Map<FailureDomain, Set<HostId>>;

function createLevels(): Level[] {
  return Array.from({ length: MAXIMUM_READERS_PER_HOST }, (): Level => new Map());
}

function countHosts(level: Level): number {
  return [...level.values()].reduce((sum, hosts) => sum + hosts.size, 0);
}
