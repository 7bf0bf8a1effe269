import { Diagnostics } from '../../../common/diagnostics/index.js';
import type { AccountId, GroupId } from '../../../common/ids/index.js';
import { RenewalOutcome } from '../../leases/daemonLeases.js';
import { getRecordedWarmup } from '../../warmup/index.js';
import { InstanceRole, type Announcement } from '../announcement.js';
import type { Departure } from '../departure.js';
import { CommandKind } from '../commandKind.js';
import { PrimaryPhase } from '../groupPrimary.js';
import type { GroupReport } from '../groupReport.js';
import type { LeaseRenewal } from '../leaseRenewal.js';
import type { InstanceRecord } from '../instanceRecord.js';
import { RecordKind } from '../recordKind.js';
import {
  getAccountHolderRecordName,
  getGroupHolderRecordName,
  getInstanceRecordName,
} from '../recordNames.js';
import { ControlOutputKind } from './controlOutput.js';
import { AnnouncementEffect, type ReceivedAnnouncement } from './groupTracker.js';
import { getLeaseKey } from './commandKey.js';
import type { HostRegistry } from './hostRegistry.js';
import { avoidHostOfLostLease, getTracker, type LeaderContext } from './leaderContext.js';
import { isFromHolder } from './isFromHolder.js';
import type { UsageReporter } from './usageReporter.js';
import { WorkReports } from './workReports.js';

/** Handles lease renewals: answers them and processes their reports. */
export class RenewalHandler {
  private readonly work: WorkReports;

  constructor(
    private readonly context: LeaderContext,
    private readonly hosts: HostRegistry,
    private readonly usage: UsageReporter,
  ) {
    this.work = new WorkReports(context);
  }

  /** Handles a renewal; one that is stale, or that this host may not grant now, gets no answer. */
  handle(renewal: LeaseRenewal, mayGrant: boolean, nowMs: number): void {
    const { leases, state } = this.context;
    const isRetired = state.isRetired(renewal.lease);
    const outcome = leases.renew(renewal, isRetired, mayGrant, nowMs);
    if (outcome === RenewalOutcome.NotLeader || outcome === RenewalOutcome.Stale) {
      return;
    }
    const sentFromMs = leases.getEarliestSentMs(renewal);
    this.answer(renewal, outcome, nowMs);
    leases.noteAnswer(renewal, nowMs);
    this.retirePredecessors(renewal, nowMs);
    if (leases.get(renewal.lease)?.isLive === true) {
      this.hosts.refresh(renewal.host, nowMs);
      this.processReports(renewal, sentFromMs, nowMs);
    }
  }

  /**
   * Retires other leases of the sender's host and address. A daemon that has applied an assignment
   * to such a lease is not the process that held it: that process is gone or has ended the lease. A
   * delayed renewal of an earlier process cannot have applied an assignment to a later one.
   */
  private retirePredecessors(
    { host, address, lease, revision }: LeaseRenewal,
    nowMs: number,
  ): void {
    const { state, outbox } = this.context;
    for (const holder of state.getHoldersOf(host)) {
      const isOther = holder.lease !== lease && holder.address === address;
      const isKnown =
        isOther && state.getAssignments(holder.lease).some(({ since }) => since <= revision);
      const command = { kind: CommandKind.RetireLease, lease: holder.lease } as const;
      if (isKnown && outbox.propose(getLeaseKey(holder.lease), command, nowMs)) {
        outbox.log(Diagnostics.LeaseRetired, { lease: holder.lease, host });
        avoidHostOfLostLease(this.context, this.context.leases.get(holder.lease));
      }
    }
  }

  private answer(renewal: LeaseRenewal, outcome: RenewalOutcome, nowMs: number): void {
    const { state, settings, outbox } = this.context;
    const { host, lease, sequence } = renewal;
    const isGranted = outcome === RenewalOutcome.Granted;
    const retired = outcome === RenewalOutcome.Retired;
    // A retired lease may have been followed by another one, whose renewals carry newer counts.
    const usage = retired ? undefined : this.usage.receive(renewal, nowMs);
    const grant = {
      lease,
      sequence,
      lengthMs: isGranted ? settings.lease.lengthMs : 0,
      retired,
      revision: state.changeRevision,
      records: state.getRecordsSince(renewal.revision),
      ...(usage === undefined ? {} : { usage }),
    };
    outbox.add({ kind: ControlOutputKind.Grant, host, grant });
  }

  private processReports(
    renewal: LeaseRenewal,
    sentFromMs: number | undefined,
    nowMs: number,
  ): void {
    for (const { announcement, ageMs } of renewal.announcements) {
      const earliestReceiptMs = sentFromMs === undefined ? -Infinity : sentFromMs - ageMs;
      this.processAnnouncement({ announcement, receivedAtMs: nowMs, earliestReceiptMs });
    }
    this.work.receive(renewal, sentFromMs, nowMs);
    this.processDepartures(renewal, nowMs);
    this.processGroupReports(renewal, nowMs);
    this.processReleases(renewal, nowMs);
  }

  private processAnnouncement(received: ReceivedAnnouncement): void {
    const { settings, groupQueue } = this.context;
    const { group } = received.announcement;
    if (!this.isAcceptedGroup(group)) {
      return;
    }
    const tracker = getTracker(this.context, group);
    const effect = tracker.recordAnnouncement(received, settings.promotion.missingMs);
    if (effect === AnnouncementEffect.Ignored) {
      return;
    }
    this.registerInstance(received.announcement, received.receivedAtMs);
    if (effect === AnnouncementEffect.Changed) {
      groupQueue.add(group);
      this.logForeignPrimary(received.announcement);
    }
  }

  /**
   * Whether announcements of a group are accepted. A configuration names all groups of the fleet, so
   * that an announcement of any other group is from a foreign sender; a group with recorded
   * instances stays accepted.
   */
  private isAcceptedGroup(group: GroupId): boolean {
    const { state } = this.context;
    const isNamed = state.getConfiguration() === undefined || state.getGroup(group) !== undefined;
    return isNamed || state.getInstances(group).length > 0;
  }

  /**
   * Logs an instance that announces itself as primary under a higher term. Only the control leader
   * orders promotions, so the claim is not followed.
   */
  private logForeignPrimary(announcement: Announcement): void {
    const { group, instance, role, term } = announcement;
    const primary = this.context.state.getPrimary(group);
    if (primary !== undefined && role === InstanceRole.Primary && term > primary.term) {
      this.context.outbox.log(Diagnostics.ForeignPrimary, { group, instance, term });
    }
  }

  private registerInstance(announcement: Announcement, nowMs: number): void {
    const { state, outbox } = this.context;
    const { group, instance, domain, address, platform, slots, connectionLimit } = announcement;
    const { startedMs } = announcement;
    const leaving = announcement.leaving && startedMs !== undefined;
    const present = state.getInstance(group, instance);
    const isOfGoneIncarnation =
      present?.gone === true && (startedMs ?? 0) <= (present.startedMs ?? 0);
    if (isOfGoneIncarnation && !this.hasReturned(announcement, nowMs)) {
      return;
    }
    const warmupMs = this.getWarmup(announcement, present);
    const isKnown =
      present?.domain === domain &&
      present.warmupMs === warmupMs &&
      present.address === address &&
      present.platform === platform &&
      present.gone !== true &&
      present.startedMs === startedMs &&
      (present.leaving ?? false) === leaving &&
      present.slots === slots &&
      present.connectionLimit === connectionLimit;
    if (isKnown) {
      this.retireReplacedInstances(present, nowMs);
      return;
    }
    const kind = RecordKind.Instance;
    const name = getInstanceRecordName(group, instance);
    const record: InstanceRecord = {
      ...{ kind, group, instance, domain, address, platform, slots, connectionLimit },
      ...(leaving ? { leaving } : {}),
      ...(startedMs === undefined ? {} : { startedMs }),
      ...(warmupMs === undefined ? {} : { warmupMs }),
    };
    const expected = state.getRecordRevision(name);
    const command = { kind: CommandKind.RegisterInstance, instance: record, expected } as const;
    outbox.propose(name, command, nowMs);
    this.retireReplacedInstances(record, nowMs);
  }

  private getWarmup(
    { group, startedMs, remainingWarmupMs: leftMs }: Announcement,
    present: InstanceRecord | undefined,
  ): number | undefined {
    const { warmupPerSecond, warmupMs: maximumMs } = this.context.state.getGroup(group) ?? {};
    const recordedMs = present?.startedMs === startedMs ? present?.warmupMs : undefined;
    return getRecordedWarmup({ leftMs, recordedMs, startsPerSecond: warmupPerSecond, maximumMs });
  }

  /**
   * Whether an instance that is recorded as gone is alive: its departure may have been reported by
   * another sender.
   */
  private hasReturned(announcement: Announcement, nowMs: number): boolean {
    const { missingMs } = this.context.settings.promotion;
    return getTracker(this.context, announcement.group).recordReturn(
      announcement,
      nowMs,
      missingMs,
    );
  }

  /** Retires missing instances that started earlier at the same address: this one replaced them. */
  private retireReplacedInstances(
    { group, instance, address, startedMs }: InstanceRecord,
    nowMs: number,
  ): void {
    const { state } = this.context;
    if (startedMs === undefined) {
      return;
    }
    const groups = [...new Set([...state.getGroups(), group])];
    for (const other of groups.flatMap((each) => state.getInstances(each))) {
      const isOther = other.instance !== instance || other.group !== group;
      const hasSameAddress = isOther && other.address === address && other.gone !== true;
      if (hasSameAddress && (other.startedMs ?? 0) < startedMs && this.isMissing(other, nowMs)) {
        this.retireInstance(other, nowMs);
      }
    }
  }

  /**
   * Whether no announcement of an instance has been received for the missing time; without any, the
   * time counts from the start of this leadership.
   */
  private isMissing({ group, instance }: InstanceRecord, nowMs: number): boolean {
    const { sinceMs, settings } = this.context;
    const received = getTracker(this.context, group).announcements.get(instance);
    return nowMs - (received?.receivedAtMs ?? sinceMs) >= settings.promotion.missingMs;
  }

  private processDepartures({ departures = [] }: LeaseRenewal, nowMs: number): void {
    const { state } = this.context;
    for (const group of departures.length === 0 ? [] : state.getGroups()) {
      for (const instance of state.getInstances(group)) {
        if (departures.some((departure) => isOfCurrentIncarnation(departure, instance))) {
          this.retireInstance(instance, nowMs);
        }
      }
    }
  }

  private retireInstance(instance: InstanceRecord, nowMs: number): void {
    const { state, outbox } = this.context;
    const name = getInstanceRecordName(instance.group, instance.instance);
    const expected = state.getRecordRevision(name);
    const kind = CommandKind.RegisterInstance;
    outbox.propose(name, { kind, instance: { ...instance, gone: true }, expected }, nowMs);
  }

  private processGroupReports(renewal: LeaseRenewal, nowMs: number): void {
    const { state, groupQueue } = this.context;
    for (const report of renewal.reports) {
      const assignment = state.getGroupAssignment(report.group);
      if (isFromHolder(renewal, assignment)) {
        const tracker = getTracker(this.context, report.group);
        tracker.recordReport(report, renewal.lease, nowMs);
        this.recordCoveredLogs(report, nowMs);
        const isIsolated = this.isPrimaryIsolated(report);
        tracker.recordIsolation(isIsolated, nowMs);
        if (isIsolated || this.isPrimaryInDoubt(report)) {
          groupQueue.add(report.group);
        }
      }
    }
  }

  /**
   * Records the logs that a holder found to be covered, so that a promotion under a later holder or
   * leader need not wait for them.
   */
  private recordCoveredLogs({ group, coveredRevision }: GroupReport, nowMs: number): void {
    const { state, outbox } = this.context;
    for (const { instance, revision } of state.getUncoveredLogs(group)) {
      const record = state.getInstance(group, instance);
      if (record !== undefined && revision <= (coveredRevision ?? 0)) {
        const name = getInstanceRecordName(group, instance);
        const expected = state.getRecordRevision(name);
        const kind = CommandKind.RegisterInstance;
        outbox.propose(name, { kind, instance: { ...record, covered: true }, expected }, nowMs);
      }
    }
  }

  /**
   * Whether a holder fenced the present term or can't reach the primary, or the primary is not
   * recorded, or its promotion has taken effect.
   */
  private isPrimaryInDoubt(report: GroupReport): boolean {
    const primary = this.context.state.getPrimary(report.group);
    if (primary === undefined) {
      return true;
    }
    const observation = report.sightings.find((each) => each.instance === primary.instance);
    const isPromoted = primary.phase === PrimaryPhase.Promoting && observation?.isPrimary === true;
    return report.fencedTerm >= primary.term || observation?.reachable === false || isPromoted;
  }

  /**
   * Whether a holder reaches the primary but none of its replicas: both may be cut off from them, so
   * that a primary which waits for a replica completes no write.
   */
  private isPrimaryIsolated({ group, sightings }: GroupReport): boolean {
    const primary = this.context.state.getPrimary(group);
    const others = sightings.filter(({ instance }) => instance !== primary?.instance);
    const own = sightings.find(({ instance }) => instance === primary?.instance);
    return (
      own?.reachable === true && others.length > 0 && others.every(({ reachable }) => !reachable)
    );
  }

  private processReleases(renewal: LeaseRenewal, nowMs: number): void {
    const { state, outbox } = this.context;
    const { lease } = renewal;
    for (const group of renewal.releasedGroups) {
      if (isFromHolder(renewal, state.getGroupAssignment(group))) {
        const name = getGroupHolderRecordName(group);
        const expected = state.getRecordRevision(name);
        const command = { kind: CommandKind.ReleaseGroup, group, lease, expected } as const;
        outbox.propose(name, command, nowMs);
      }
    }
    for (const account of renewal.releasedAccounts) {
      if (isFromHolder(renewal, state.getAccountAssignment(account))) {
        const name = getAccountHolderRecordName(account);
        const expected = state.getRecordRevision(name);
        const tokens = getReleasedTokens(renewal, account);
        const kind = CommandKind.ReleaseAccount;
        const command = { kind, account, lease, expected, tokens } as const;
        outbox.propose(name, command, nowMs);
      }
    }
  }
}

/**
 * Whether a departure is of an instance's current incarnation; a delayed one may be of an earlier
 * one.
 */
function isOfCurrentIncarnation(
  departure: Departure,
  { instance, startedMs }: InstanceRecord,
): boolean {
  return departure.instance === instance && (departure.startedMs ?? Infinity) >= (startedMs ?? 0);
}

/**
 * Tokens reported for a released account. The value comes from a peer over the mesh: anything but a
 * positive, finite number counts as 0.
 */
function getReleasedTokens({ releasedTokens }: LeaseRenewal, account: AccountId): number {
  const tokens: unknown = releasedTokens?.[account];
  return typeof tokens === 'number' && tokens > 0 && Number.isFinite(tokens) ? tokens : 0;
}
