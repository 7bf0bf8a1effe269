import {
  toLogPosition,
  toTerm,
  type HostId,
  type InstanceId,
  type LeaseId,
  type Term,
} from '../../../common/ids/index.js';
import type { PromotionOrder, ObservedPoint } from '../../promotion/index.js';
import type { Announcement } from '../announcement.js';
import { isSentBefore } from '../announcementOrder.js';
import type { GroupReport } from '../groupReport.js';
import { LivenessDetector } from './livenessDetector.js';

/** Announcement with the time at which this leader received it. */
export interface ReceivedAnnouncement {
  readonly announcement: Announcement;
  readonly receivedAtMs: number;
  /** Earliest time at which a daemon can have received it; -Infinity if unknown. */
  readonly earliestReceiptMs: number;
}

/** Effect of an announcement on the recorded state of its instance. */
export enum AnnouncementEffect {
  /** Stale: the recorded announcement is ahead of it. */
  Ignored = 'ignored',
  /** Role, term and `leaving` are unchanged; the position or the time may have advanced. */
  Renewed = 'renewed',
  /** The role, the term or `leaving` changed, or the instance is new or had been missing. */
  Changed = 'changed',
}

/** State of one group that the leader keeps in memory only, besides the records. */
export class GroupTracker {
  readonly announcements = new Map<InstanceId, ReceivedAnnouncement>();
  /** Detectors for the instances that are recorded as gone but still announce themselves. */
  readonly livenessDetectors = new Map<InstanceId, LivenessDetector>();
  /** The present holder's observations of the group's instances. */
  readonly sightings = new Map<InstanceId, ObservedPoint>();
  /** Lease of the holder whose report is recorded. */
  reporter: LeaseId | undefined;
  fencedTerm = toTerm(0);
  fencedAtMs: number | undefined;
  acknowledged = toLogPosition(0);
  confirmed = toLogPosition(0);
  firstSeenMs: number | undefined;
  unheldSinceMs: number | undefined;
  servingSinceMs: number | undefined;
  movingSinceMs: number | undefined;
  /** The primary at the start of the planned move in progress. */
  movingInstance: InstanceId | undefined;
  moveAbandonedMs: number | undefined;
  order: PromotionOrder | undefined;
  /** Term of the last promotion that this leader proposed. */
  begunTerm: Term | undefined;
  /** When this leader first knew of each order that may still be carried out, by its term. */
  readonly orderSinceMs = new Map<Term, number>();
  /** Instance of the last promotion order. */
  orderedInstance: InstanceId | undefined;
  /** When this leader began the group's last promotions. */
  promotionTimes: number[] = [];
  /** Whether a promotion waits because there were too many. */
  isPaused = false;
  failedInstances: InstanceId[] = [];
  blockedReason: string | undefined;
  /** Since when the present holder reports that it reaches the primary but none of the replicas. */
  isolatedSinceMs: number | undefined;
  /** When the group was last moved for that reason. */
  isolationMovedMs = -Infinity;
  /** Host that held the group but could not reach its instances or keep its lease. */
  avoidedHost: HostId | undefined;

  /**
   * Records an announcement. Ignores it if it is behind the recorded announcement, unless that was
   * received at least `missingMs` ago.
   */
  recordAnnouncement(received: ReceivedAnnouncement, missingMs: number): AnnouncementEffect {
    const { announcement, receivedAtMs: nowMs } = received;
    this.firstSeenMs ??= nowMs;
    const present = this.announcements.get(announcement.instance);
    if (present !== undefined && isSentBefore(announcement, present.announcement)) {
      if (nowMs - present.receivedAtMs < missingMs) {
        return AnnouncementEffect.Ignored;
      }
    }
    const isReset = present === undefined || isSentBefore(announcement, present.announcement);
    const knownFromMs = isReset ? -Infinity : present.earliestReceiptMs;
    const earliestReceiptMs = Math.max(received.earliestReceiptMs, knownFromMs);
    this.announcements.set(announcement.instance, { ...received, earliestReceiptMs });
    const wasMissing = present !== undefined && nowMs - present.receivedAtMs >= missingMs;
    return present === undefined || wasMissing || hasChanged(present.announcement, announcement)
      ? AnnouncementEffect.Changed
      : AnnouncementEffect.Renewed;
  }

  /**
   * Records an announcement of an instance that is recorded as gone; true if the instance is alive
   * after all.
   */
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

  /** Records a report of the present holder. */
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

  /** Records whether the holder reaches the primary but none of the replicas. */
  recordIsolation(isIsolated: boolean, nowMs: number): void {
    this.isolatedSinceMs = isIsolated ? (this.isolatedSinceMs ?? nowMs) : undefined;
  }

  /** Discards the report of a holder that no longer holds the group. */
  clearReport(): void {
    this.reporter = undefined;
    this.fencedTerm = toTerm(0);
    this.fencedAtMs = undefined;
    this.acknowledged = toLogPosition(0);
    this.confirmed = toLogPosition(0);
    this.isolatedSinceMs = undefined;
    this.sightings.clear();
  }
}

function hasChanged(before: Announcement, after: Announcement): boolean {
  return (
    before.role !== after.role || before.term !== after.term || before.leaving !== after.leaving
  );
}
