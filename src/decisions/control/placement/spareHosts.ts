import type { FailureDomain, HostId } from '../../../common/ids/index.js';
import { HostLoads } from './hostLoads.js';

/** Most readers that a host is given: with more its link carries as much as that of a holder. */
export const MAXIMUM_READERS_PER_HOST = 2;

/** The hosts without a group that may be given readers, by how many they have. */
export class SpareHosts {
  private readonly eligible = new Map<HostId, FailureDomain>();
  private readonly groups = new HostLoads();
  private readonly readers = new HostLoads();
  /** By number of readers, then by failure domain: hosts with a place left. */
  private readonly spare = createLevels();

  /** Number of hosts with a place left. */
  get size(): number {
    return this.spare.reduce((sum, level) => sum + countHosts(level), 0);
  }

  /** Makes a host eligible. */
  addHost(host: HostId, domain: FailureDomain): void {
    this.removeHost(host);
    this.eligible.set(host, domain);
    this.refresh(host);
  }

  /** Makes a host ineligible; what it carries is counted on. */
  removeHost(host: HostId): void {
    const domain = this.eligible.get(host);
    if (domain !== undefined) {
      this.unindex(host, domain);
      this.eligible.delete(host);
    }
  }

  /** Notes which host holds a group; undefined for none. */
  placeGroup(key: string, host: HostId | undefined): void {
    for (const changed of this.groups.place(key, host)) {
      this.refresh(changed);
    }
  }

  /** Notes which host is a replica's reader, undefined for none; gives the hosts that changed. */
  placeReader(key: string, host: HostId | undefined): readonly HostId[] {
    const changed = this.readers.place(key, host);
    changed.forEach((each) => this.refresh(each));
    return changed;
  }

  /** Whether a host holds a group. */
  holdsGroup(host: HostId): boolean {
    return this.groups.get(host) > 0;
  }

  /** How many replicas a host reads. */
  countReaders(host: HostId): number {
    return this.readers.get(host);
  }

  /** The host with the fewest readers, one of the near failure domain first; undefined when none is spare. */
  choose(near: FailureDomain): HostId | undefined {
    const level = this.spare.find((each) => each.size > 0);
    const [domain] = level?.keys() ?? [];
    const hosts = level?.get(near) ?? (domain === undefined ? undefined : level?.get(domain));
    const [host] = hosts ?? [];
    return host;
  }

  /** Forgets what hosts carry; gives those that had readers. */
  clear(): readonly HostId[] {
    this.groups.clear();
    const hosts = this.readers.clear();
    for (const host of this.eligible.keys()) {
      this.refresh(host);
    }
    return hosts;
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
