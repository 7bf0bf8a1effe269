import type { WindowNumber } from '../../common/ids/index.js';
import { ReportOutcome, type UsageReport } from './usageReport.js';
import type { UsageTerms } from './usageTerms.js';
import type { WindowCounts } from './windowCounts.js';

const FIRST_BACKOFF_MS = 250;
const MAXIMUM_BACKOFF_MS = 2000;
/** Minimum time between calls: 10 of the 50 calls a second that all duties may share. */
const CALL_INTERVAL_MS = 100;

/** Decides when a control leader sends which report, with at most one call in flight. */
export class ReportSender {
  private token = 0;
  private nextMs = Infinity;
  private backoffMs = FIRST_BACKOFF_MS;
  private inFlight: UsageReport | undefined;
  private readonly attempts = new Map<WindowNumber, number>();

  constructor(private readonly terms: UsageTerms) {}

  /**
   * Begins a leadership. The previous leader may have sent a report just before, so that the first
   * call waits.
   */
  begin(token: number, nowMs: number): void {
    this.token = token;
    this.nextMs = nowMs + this.terms.leaseMs;
    this.backoffMs = FIRST_BACKOFF_MS;
    this.inFlight = undefined;
    this.attempts.clear();
  }

  /** Ends the leadership: nothing more is sent. */
  end(): void {
    this.nextMs = Infinity;
    this.inFlight = undefined;
  }

  /** Returns the report to send now for the first of the committed windows; undefined for none. */
  next(pending: Iterable<WindowCounts>, nowMs: number): UsageReport | undefined {
    if (this.inFlight !== undefined || nowMs < this.nextMs) {
      return undefined;
    }
    for (const counts of pending) {
      const attempt = (this.attempts.get(counts.window) ?? 0) + 1;
      this.attempts.set(counts.window, attempt);
      this.inFlight = { ...counts, token: this.token, attempt };
      return this.inFlight;
    }
    return undefined;
  }

  /**
   * Processes the outcome of the call in flight; returns whether it is that call's. After a refusal
   * because of a higher token, nothing more is sent under this one.
   */
  receive({ window, token, attempt }: UsageReport, outcome: ReportOutcome, nowMs: number): boolean {
    const { inFlight } = this;
    const isPresent =
      inFlight?.window === window && inFlight.token === token && inFlight.attempt === attempt;
    if (!isPresent) {
      return false;
    }
    this.inFlight = undefined;
    switch (outcome) {
      case ReportOutcome.Accepted:
        this.attempts.delete(window);
        this.backoffMs = FIRST_BACKOFF_MS;
        this.nextMs = nowMs + CALL_INTERVAL_MS;
        break;
      case ReportOutcome.Fenced:
        this.nextMs = Infinity;
        break;
      case ReportOutcome.Limited:
      case ReportOutcome.Failed:
      case ReportOutcome.Unsent:
        this.nextMs = nowMs + this.backoffMs;
        this.backoffMs = Math.min(MAXIMUM_BACKOFF_MS, 2 * this.backoffMs);
    }
    return true;
  }
}
