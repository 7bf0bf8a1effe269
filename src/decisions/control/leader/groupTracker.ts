import {
  toLogPosition,
  toTerm,
  type HostId,
  type InstanceId,
  type LeaseId,
} from '../../../common/ids/index.js';
import type { PromotionOrder, SightedPlace } from '../../promotion/index.js';
import type { Announcement } from '../announcement.js';
import type { GroupReport } from '../groupReport.js';
import { LivenessDetector } from './livenessDetector.js';

/** An announcement and when this leader received it. */
export interface ReceivedAnnouncement {
  readonly announcement: Announcement;
  readonly receivedAtMs: number;
  /** Earliest time at which a daemon can have received it; -Infinity when that can't be told. */
  readonly measuredFromMs: number;
}

/** What an announcement changed. */
export enum AnnouncementEffect {
  /** Late: an earlier one was further. */
  Ignored = 'ignored',
  /** Only the position or the time moved. */
  Renewed = 'renewed',
  /** The role, the term, leaving or the instance itself is new. */
  Changed = 'changed',
}

/** What a leader knows of one group besides the records, in memory only. */
export class GroupTracker {
  readonly announcements = new Map<InstanceId, ReceivedAnnouncement>();
  /** Of instances that are recorded as gone and report all the same. */
  readonly livenessDetectors = new Map<InstanceId, LivenessDetector>();
  readonly sightings = new Map<InstanceId, SightedPlace>();
  reporter: LeaseId | undefined;
  fencedTerm = toTerm(0);
  fencedAtMs: number | undefined;
  acknowledged = toLogPosition(0);
  confirmed = toLogPosition(0);
  firstSeenMs: number | undefined;
  unheldSinceMs: number | undefined;
  servingSinceMs: number | undefined;
  movingSinceMs: number | undefined;
  /** The primary that a planned move under way began with. */
  movingInstance: InstanceId | undefined;
  moveEndedMs: number | undefined;
  order: PromotionOrder | undefined;
  /** Instance of the last order. */
  orderedInstance: InstanceId | undefined;
  failedInstances: InstanceId[] = [];
  blockedReason: string | undefined;
  /** A host that held the group but could not reach its instances, or keep its lease. */
  avoidedHost: HostId | undefined;

  /** Takes in an announcement; one that goes back counts only once the earlier one is old. */
  recordAnnouncement(received: ReceivedAnnouncement, missingMs: number): AnnouncementEffect {
    const { announcement, receivedAtMs: nowMs } = received;
    this.firstSeenMs ??= nowMs;
    const present = this.announcements.get(announcement.instance);
    if (present !== undefined && isRegression(present.announcement, announcement)) {
      if (nowMs - present.receivedAtMs < missingMs) {
        return AnnouncementEffect.Ignored;
      }
    }
    const isReset = present === undefined || isRegression(present.announcement, announcement);
    const knownFromMs = isReset ? -Infinity : present.measuredFromMs;
    const measuredFromMs = Math.max(received.measuredFromMs, knownFromMs);
    this.announcements.set(announcement.instance, { ...received, measuredFromMs });
    const wasMissing = present !== undefined && nowMs - present.receivedAtMs >= missingMs;
    return present === undefined || wasMissing || hasChanged(present.announcement, announcement)
      ? AnnouncementEffect.Changed
      : AnnouncementEffect.Renewed;
  }

  /** Notes a report of an instance that is recorded as gone; whether it lives all the same. */
  recordReturn(announcement: Announcement, nowMs: number, missingMs: number): boolean {
    const { instance } = announcement;
    const detector = this.livenessDetectors.get(instance) ?? new LivenessDetector();
    this.livenessDetectors.set(instance, detector);
    const isAlive = detector.recordReport(announcement, nowMs, missingMs);
    if (isAlive) {
      this.livenessDetectors.delete(instance);
    }
    return isAlive;
  }

  /** Takes in the present holder's report. */
  recordReport(report: GroupReport, lease: LeaseId, nowMs: number): void {
    if (this.reporter !== lease) {
      this.clearReport();
      this.reporter = lease;
    }
    if (report.fencedTerm > this.fencedTerm) {
      this.fencedTerm = report.fencedTerm;
      this.fencedAtMs = nowMs;
      this.sightings.clear();
    }
    this.acknowledged = report.acknowledged;
    this.confirmed = report.confirmed;
    for (const { instance, ...observation } of report.sightings) {
      this.sightings.set(instance, { ...observation, receivedAtMs: nowMs });
    }
  }

  /** Forgets what a holder reported, when it holds the group no more. */
  clearReport(): void {
    this.reporter = undefined;
    this.fencedTerm = toTerm(0);
    this.fencedAtMs = undefined;
    this.acknowledged = toLogPosition(0);
    this.confirmed = toLogPosition(0);
    this.sightings.clear();
  }
}

function isRegression(before: Announcement, after: Announcement): boolean {
  const startedMs = (after.startedMs ?? 0) - (before.startedMs ?? 0);
  const isEarlier = (after.sequence ?? 0) < (before.sequence ?? 0);
  return (
    startedMs < 0 ||
    (startedMs === 0 && isEarlier) ||
    after.term < before.term ||
    (after.term === before.term && after.position < before.position)
  );
}

function hasChanged(before: Announcement, after: Announcement): boolean {
  return (
    before.role !== after.role || before.term !== after.term || before.leaving !== after.leaving
  );
}
