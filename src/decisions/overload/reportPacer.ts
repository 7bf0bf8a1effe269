import type { LeaseId, GroupId, Incarnation, InstanceId } from '../../common/ids/index.js';
import { isWithoutLoad, type LoadReport } from './loadReport.js';

/** Shortest time between two reports of one group or replica to one host, in milliseconds. */
const REPORT_INTERVAL_MS = 100;
/** Bytes of reports that a host sends per second, and at most at once. */
const BYTES_PER_SECOND = 1500;
const MAXIMUM_BYTES = 500;
const BYTES_PER_REPORT = 6;
const BYTES_PER_WAIT = 3;
const MAXIMUM_RECIPIENTS = 16_384;

/** A host that receives the load reports of one group or replica. */
export interface ReportRecipient {
  readonly incarnation: Incarnation;
  readonly group: GroupId;
  readonly instance: InstanceId | undefined;
  readonly lease: LeaseId;
}

interface SentReport {
  readonly nowMs: number;
  readonly hadLoad: boolean;
}

/**
 * Decides which answers carry a load report, so that reports stay under 2 KB/s per host. Without
 * load nothing is reported, except once after a report of load.
 */
export class ReportPacer {
  private readonly sent = new Map<string, SentReport>();
  private bytes = MAXIMUM_BYTES;
  private refilledMs = 0;

  /** Returns the report for an answer to a host, if one is due; `report` creates it. */
  take(
    recipient: ReportRecipient,
    report: () => LoadReport | undefined,
    nowMs: number,
  ): LoadReport | undefined {
    const { incarnation, group, instance, lease } = recipient;
    const key = `${incarnation}/${group}/${instance ?? ''}/${lease}`;
    const last = this.sent.get(key);
    this.refill(nowMs);
    if (this.bytes < BYTES_PER_REPORT || (last && nowMs - last.nowMs < REPORT_INTERVAL_MS)) {
      return undefined;
    }
    const created = report();
    const hasLoad = created !== undefined && !isWithoutLoad(created);
    if (created === undefined || (!hasLoad && last?.hadLoad !== true)) {
      return undefined;
    }
    if (!this.takeBytes(created)) {
      return undefined;
    }
    this.record(key, { nowMs, hadLoad: hasLoad });
    return created;
  }

  private refill(nowMs: number): void {
    const bytes = ((nowMs - this.refilledMs) * BYTES_PER_SECOND) / 1000;
    this.bytes = Math.min(MAXIMUM_BYTES, this.bytes + Math.max(0, bytes));
    this.refilledMs = nowMs;
  }

  private takeBytes(report: LoadReport): boolean {
    const waits = report.reduce((count, { length }) => count + length, 0);
    const size = BYTES_PER_REPORT + waits * BYTES_PER_WAIT;
    if (this.bytes < size) {
      return false;
    }
    this.bytes -= size;
    return true;
  }

  private record(key: string, sent: SentReport): void {
    this.sent.delete(key);
    this.sent.set(key, sent);
    if (this.sent.size > MAXIMUM_RECIPIENTS) {
      const oldest = this.sent.keys().next();
      if (oldest.done !== true) {
        this.sent.delete(oldest.value);
      }
    }
  }
}
