import type { FailureDomain, HostId } from '../../../common/ids/index.js';
import type { DaemonLease } from '../../leases/daemonLease.js';
import { RecordKind } from '../recordKind.js';
import type { LeaderContext } from './leaderContext.js';

interface EligibleHost {
  readonly domain: FailureDomain;
}

/**
 * Hosts that may be assigned resources: those with a live lease that are not stopping and whose
 * failure domain is in service.
 */
export class HostRegistry {
  private readonly eligible = new Map<HostId, EligibleHost>();
  private readonly leaving = new Set<HostId>();

  constructor(private readonly context: LeaderContext) {}

  /** Updates a host's eligibility from its lease and failure domain. */
  refresh(host: HostId, nowMs: number): void {
    const { leases, state } = this.context;
    const lease = leases.getByHost(host);
    const isLive = lease?.isLive === true;
    const isLeaving = isLive && (lease.stopping || !state.isInService(lease.domain));
    if (isLeaving && !this.leaving.has(host)) {
      this.leaving.add(host);
      this.enqueueHeld(host);
    } else if (!isLeaving) {
      this.leaving.delete(host);
    }
    if (isLive && !isLeaving) {
      this.add(lease, nowMs);
    } else {
      this.remove(host);
    }
  }

  /** Updates every host, after a failure domain was taken out of service or returned to it. */
  refreshAll(nowMs: number): void {
    const hosts = new Set([...this.context.leases.getLive()].map((lease) => lease.host));
    for (const host of this.eligible.keys()) {
      hosts.add(host);
    }
    for (const host of hosts) {
      this.refresh(host, nowMs);
    }
  }

  /** Removes all hosts. */
  clear(): void {
    for (const host of [...this.eligible.keys()]) {
      this.remove(host);
    }
    this.leaving.clear();
  }

  private add({ host, domain, linkBytesPerSecond }: DaemonLease, nowMs: number): void {
    if (this.eligible.has(host)) {
      return;
    }
    this.eligible.set(host, { domain });
    const warmAtMs = this.isFleetStarting(nowMs)
      ? nowMs
      : nowMs + this.context.settings.slowStartMs;
    const added = { host, domain, sinceMs: nowMs, warmAtMs };
    this.context.groupPlacement.addHost(added);
    this.context.accountPlacement.addHost(added);
    this.context.spareHosts.addHost(host, domain);
    if (linkBytesPerSecond !== undefined) {
      this.enqueueHeld(host);
    }
  }

  private remove(host: HostId): void {
    if (this.eligible.delete(host)) {
      this.context.groupPlacement.removeHost(host);
      this.context.accountPlacement.removeHost(host);
      this.context.spareHosts.removeHost(host);
      this.context.loadPlacement?.work.removeHost(host);
    }
  }

  /**
   * Whether leases of an earlier leader may still last. A host that appears in that time was in the
   * fleet before and needs no slow start.
   */
  private isFleetStarting(nowMs: number): boolean {
    return this.context.leases.isWaiting(nowMs);
  }

  private enqueueHeld(host: HostId): void {
    const { leases, state, groupQueue, accountQueue } = this.context;
    const lease = leases.getByHost(host);
    for (const held of lease === undefined ? [] : state.getAssignments(lease.lease)) {
      if (held.kind === RecordKind.AccountHolder) {
        accountQueue.add(held.account);
      } else {
        groupQueue.add(held.group);
      }
    }
  }
}
