import type { GroupId, InstanceId, LeaseId } from '../../common/ids/index.js';
import { FigureRejection } from './figureRejection.js';
import { LoadKind } from './loadKind.js';
import { tryReadLoadReport, type LoadReport } from './loadReport.js';
import { getPriorityClass } from './priorityClass.js';

/** Time for which a figure is used, in milliseconds. */
export const FIGURE_VALIDITY_MS = 500;
/**
 * Age up to which a figure counts in full. While a group is overloaded, arrivals replace what is
 * served, so that the last figure is the best estimate; after this age it declines to zero.
 */
const FULL_VALIDITY_MS = 250;
/** Tolerance in comparing durations that two hosts measured: rounding and drift. */
const DURATION_TOLERANCE_MS = 5;
const DRIFT_TOLERANCE = 0.02;

/** The holder of a group, or the reader of a replica, under a lease. */
export interface LoadSender {
  readonly group: GroupId;
  /** The replica that the sender reads; undefined for the holder of the group. */
  readonly instance: InstanceId | undefined;
  readonly lease: LeaseId;
}

/** Durations of an answered request that bound the age of the report in its answer. */
export interface ReportTimes {
  /** When the request was sent, and when its answer arrived. */
  readonly sentMs: number;
  readonly nowMs: number;
  /** Time that the request spent at the sender of the report. */
  readonly atSenderMs: number;
}

/** An expected wait as an entry host knows it. */
export interface LoadFigure {
  /** Expected wait in milliseconds, as reported. */
  readonly reportedMs: number;
  /** Upper bound of the age of the report in milliseconds. */
  readonly ageMs: number;
  /** Expected wait after the decline with age; the figure to decide by. */
  readonly waitMs: number;
}

interface StoredReport {
  readonly lease: LeaseId;
  readonly report: LoadReport;
  /** Earliest time at which the report may have been created. */
  readonly createdMs: number;
}

/**
 * Newest load report of each holder and reader, as known at an entry host. The clock given to it has
 * to count suspensions of the host, since figures age while it is suspended.
 */
export class LoadFigures {
  private readonly reports = new Map<string, StoredReport>();

  /** Keeps a received report; returns why it is ignored, or undefined if it is kept. */
  record(
    sender: LoadSender,
    content: unknown,
    times: ReportTimes,
    leaseInForce: LeaseId | undefined,
  ): FigureRejection | undefined {
    const report = tryReadLoadReport(content);
    if (report === undefined) {
      return FigureRejection.OutOfRange;
    }
    if (sender.lease !== leaseInForce) {
      return FigureRejection.Foreign;
    }
    const elapsedMs = times.nowMs - times.sentMs;
    const ageMs = elapsedMs - times.atSenderMs;
    const toleranceMs = DURATION_TOLERANCE_MS + Math.max(0, elapsedMs) * DRIFT_TOLERANCE;
    if (!(ageMs >= -toleranceMs)) {
      return FigureRejection.Future;
    }
    if (ageMs >= FIGURE_VALIDITY_MS) {
      return FigureRejection.Stale;
    }
    const key = getKey(sender);
    const createdMs = times.nowMs - Math.max(0, ageMs);
    const known = this.reports.get(key);
    if (known?.lease !== sender.lease || known.createdMs <= createdMs) {
      this.reports.set(key, { lease: sender.lease, report, createdMs });
    }
    return undefined;
  }

  /** Returns the figure of a sender; undefined if there is none that may be used. */
  get(
    sender: LoadSender,
    kind: LoadKind,
    priority: number | undefined,
    nowMs: number,
  ): LoadFigure | undefined {
    const key = getKey(sender);
    const stored = this.reports.get(key);
    if (stored === undefined) {
      return undefined;
    }
    const ageMs = nowMs - stored.createdMs;
    if (stored.lease !== sender.lease || !(ageMs >= 0 && ageMs < FIGURE_VALIDITY_MS)) {
      this.reports.delete(key);
      return undefined;
    }
    const waits = stored.report[kind === LoadKind.Primary ? 0 : 1];
    const reportedMs = waits.length === 1 ? waits[0] : waits[getPriorityClass(priority)];
    if (reportedMs === undefined) {
      return undefined;
    }
    const leftMs = FIGURE_VALIDITY_MS - Math.max(ageMs, FULL_VALIDITY_MS);
    const share = leftMs / (FIGURE_VALIDITY_MS - FULL_VALIDITY_MS);
    return { reportedMs, ageMs, waitMs: reportedMs * share };
  }

  /** Drops the reports that are no longer valid. */
  sweep(nowMs: number): void {
    for (const [key, { createdMs }] of this.reports) {
      if (!(nowMs - createdMs < FIGURE_VALIDITY_MS)) {
        this.reports.delete(key);
      }
    }
  }
}

function getKey({ group, instance = '' as InstanceId }: LoadSender): string {
  return `${group}/${instance}`;
}
