import type { Announcement } from '../announcement.js';

/** Minimum number of successive reports from an instance that counts as alive. */
const MINIMUM_REPORTS = 4;

/**
 * Distinguishes an instance that keeps reporting from delayed reports of an instance that is gone:
 * those are few, arrive together and do not continue.
 */
export class LivenessDetector {
  private sinceMs = 0;
  private lastMs = -Infinity;
  private sequence = -1;
  private reports = 0;

  /**
   * Records a report; true once reports with rising sequence numbers have continued for
   * `missingMs`, which shows that the sender is alive.
   */
  recordReport({ sequence, leaving }: Announcement, nowMs: number, missingMs: number): boolean {
    if (nowMs - this.lastMs >= missingMs) {
      this.sinceMs = nowMs;
      this.sequence = -1;
      this.reports = 0;
    }
    if (sequence === undefined || leaving || sequence <= this.sequence) {
      return false;
    }
    this.sequence = sequence;
    this.lastMs = nowMs;
    this.reports += 1;
    return this.reports >= MINIMUM_REPORTS && nowMs - this.sinceMs >= missingMs;
  }
}
