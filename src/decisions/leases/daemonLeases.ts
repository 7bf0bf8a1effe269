import { toRevision, type HostId, type LeaseId, type Revision } from '../../common/ids/index.js';
import type { LeaseRenewal } from '../control/leaseRenewal.js';
import { AnswerTimes } from './answerTimes.js';
import type { DaemonLease } from './daemonLease.js';
import { getGranterLengthMs, type LeaseTerms } from './leaseTerms.js';

/** The outcome of a renewal. */
export enum RenewalOutcome {
  Granted = 'granted',
  /** The lease expired at this leader or was retired. */
  Retired = 'retired',
  /** The daemon has not applied committed changes in time. */
  Outdated = 'outdated',
  /** A delayed or repeated renewal. */
  Stale = 'stale',
  /** This leader may not grant now. */
  NotLeader = 'not-leader',
}

interface Commit {
  readonly revision: Revision;
  readonly atMs: number;
}

/**
 * The leader's table of daemon leases, in memory only. Each answer brings the records that the daemon
 * lacks, which it applies before the lease counts. A daemon that has not applied a change
 * `applyTimeoutMs` after its commit is granted nothing more.
 */
export class DaemonLeases {
  /** Ordered by expiry, since every grant has the same length. */
  private readonly leases = new Map<LeaseId, DaemonLease>();
  private readonly byHost = new Map<HostId, LeaseId>();
  private readonly expired = new Set<LeaseId>();
  private readonly answers = new Map<LeaseId, AnswerTimes>();
  private commits: Commit[] = [];
  private requiredRevision = toRevision(0);
  private waitUntilMs = 0;

  constructor(private readonly terms: LeaseTerms) {}

  /** Begins a leadership: leases with assignments may last one full length from now. */
  begin(assigned: Iterable<DaemonLease>, revision: Revision, nowMs: number): void {
    this.leases.clear();
    this.byHost.clear();
    this.expired.clear();
    this.answers.clear();
    this.commits = [{ revision, atMs: nowMs }];
    this.requiredRevision = toRevision(0);
    this.waitUntilMs = nowMs + this.getWaitMs();
    for (const lease of assigned) {
      this.leases.set(lease.lease, { ...lease, expiryMs: this.waitUntilMs, isLive: false });
    }
  }

  /** Records that a change of the records was committed. */
  noteCommit(revision: Revision, nowMs: number): void {
    this.commits.push({ revision, atMs: nowMs });
  }

  /** Processes a renewal; `isRetired` states whether the log retired the lease. */
  renew(
    renewal: LeaseRenewal,
    isRetired: boolean,
    mayGrant: boolean,
    nowMs: number,
  ): RenewalOutcome {
    if (!mayGrant) {
      return RenewalOutcome.NotLeader;
    }
    const existing = this.leases.get(renewal.lease);
    if (isRetired || this.isOver(renewal.lease, existing, nowMs)) {
      return RenewalOutcome.Retired;
    }
    if (existing !== undefined && renewal.sequence <= existing.sequence) {
      return RenewalOutcome.Stale;
    }
    if (renewal.revision < this.getRequiredRevision(nowMs)) {
      this.noteRefused(renewal, existing);
      return RenewalOutcome.Outdated;
    }
    this.grant(renewal, nowMs);
    return RenewalOutcome.Granted;
  }

  /** Removes and returns the leases that expired; each is returned once and never renewed again. */
  takeExpired(nowMs: number): DaemonLease[] {
    const taken: DaemonLease[] = [];
    for (const lease of this.leases.values()) {
      if (lease.expiryMs > nowMs) {
        break;
      }
      taken.push(lease);
    }
    for (const lease of taken) {
      this.drop(lease);
      this.expired.add(lease.lease);
    }
    return taken;
  }

  /** The leases that expired and that the log has not retired yet. */
  getExpired(): LeaseId[] {
    return [...this.expired];
  }

  /** Removes a lease that the log retired. */
  forget(lease: LeaseId): void {
    const existing = this.leases.get(lease);
    if (existing !== undefined) {
      this.drop(existing);
    }
    this.expired.delete(lease);
  }

  /** The earliest time at which a renewal can have been sent; undefined when unknown. */
  getEarliestSentMs(renewal: LeaseRenewal): number | undefined {
    return this.answers.get(renewal.lease)?.getEarliestSentMs(renewal, this.terms.driftBound);
  }

  /** Records that a renewal is answered now. */
  noteAnswer(renewal: LeaseRenewal, nowMs: number): void {
    if (this.leases.has(renewal.lease)) {
      const times = this.answers.get(renewal.lease) ?? new AnswerTimes();
      times.note(renewal.sequence, nowMs);
      this.answers.set(renewal.lease, times);
    }
  }

  /** The lease with that id; undefined when it is not in the table. */
  get(lease: LeaseId): DaemonLease | undefined {
    return this.leases.get(lease);
  }

  /** The lease that a host renewed last. */
  getByHost(host: HostId): DaemonLease | undefined {
    const lease = this.byHost.get(host);
    return lease === undefined ? undefined : this.leases.get(lease);
  }

  /** Every lease that was renewed at this leader and is still in the table. */
  getLive(): DaemonLease[] {
    return [...this.leases.values()].filter((lease) => lease.isLive);
  }

  /** Whether leases granted by an earlier leader may still last. */
  isWaiting(nowMs: number): boolean {
    return nowMs < this.waitUntilMs;
  }

  /** The revision that a renewal received now must have reached. */
  getRequiredRevision(nowMs: number): Revision {
    let due = 0;
    for (const commit of this.commits) {
      if (commit.atMs + this.terms.applyTimeoutMs > nowMs) {
        break;
      }
      this.requiredRevision = commit.revision;
      due++;
    }
    if (due > 0) {
      this.commits = this.commits.slice(due);
    }
    return this.requiredRevision;
  }

  /** Time for which a new leader assumes that leases granted by earlier leaders last. */
  protected getWaitMs(): number {
    return getGranterLengthMs(this.terms);
  }

  /** The time at which a lease renewed now expires. */
  protected getExpiryMs(nowMs: number): number {
    return nowMs + getGranterLengthMs(this.terms);
  }

  private isOver(lease: LeaseId, existing: DaemonLease | undefined, nowMs: number): boolean {
    return this.expired.has(lease) || (existing !== undefined && existing.expiryMs <= nowMs);
  }

  private grant(renewal: LeaseRenewal, nowMs: number): void {
    const { lease, host, domain, address, sequence, revision, stopping } = renewal;
    const expiryMs = this.getExpiryMs(nowMs);
    const { linkBytesPerSecond: link } = renewal;
    const fields = { lease, host, domain, address, sequence, revision, stopping };
    const granted = link === undefined ? fields : { ...fields, linkBytesPerSecond: link };
    this.leases.delete(lease);
    this.leases.set(lease, { ...granted, grantedAtMs: nowMs, expiryMs, isLive: true });
    this.byHost.set(host, lease);
  }

  private noteRefused(renewal: LeaseRenewal, existing: DaemonLease | undefined): void {
    if (existing !== undefined) {
      const { sequence, revision, stopping } = renewal;
      this.leases.set(renewal.lease, { ...existing, sequence, revision, stopping });
    }
  }

  private drop(lease: DaemonLease): void {
    this.answers.delete(lease.lease);
    this.leases.delete(lease.lease);
    if (this.byHost.get(lease.host) === lease.lease) {
      this.byHost.delete(lease.host);
    }
  }
}
