import type { Announcement } from '../announcement.js';

/** Reports in a row after which an instance is taken for alive. */
const MINIMUM_REPORTS = 4;

/**
 * Tells an instance that goes on reporting from reports of it that come late: those are few, come
 * together, and don't go on.
 */
export class LivenessDetector {
  private firstReportMs = 0;
  private lastReportMs = -Infinity;
  private sequence = -1;
  private reports = 0;

  /** Takes in a report; whether the reports have gone on for so long that their sender lives. */
  recordReport({ sequence, leaving }: Announcement, nowMs: number, missingMs: number): boolean {
    if (nowMs - this.lastReportMs >= missingMs) {
      this.firstReportMs = nowMs;
      this.sequence = -1;
      this.reports = 0;
    }
    if (sequence === undefined || leaving || sequence <= this.sequence) {
      return false;
    }
    this.sequence = sequence;
    this.lastReportMs = nowMs;
    this.reports += 1;
    return this.reports >= MINIMUM_REPORTS && nowMs - this.firstReportMs >= missingMs;
  }
}
