import type { Diagnostic } from '../diagnostics/index.js';
import type { TimerService } from '../timer/index.js';

/** Maximum number of lines of one diagnostic written in an interval. */
export const LINES_PER_INTERVAL = 20;
/** Length of the interval, which starts at the first line of a diagnostic. */
export const REPEAT_INTERVAL_MS = 10_000;

/** Number of suppressed lines of one diagnostic. */
export interface SuppressedLines {
  readonly diagnostic: Diagnostic;
  readonly count: number;
}

interface Interval {
  readonly diagnostic: Diagnostic;
  readonly endMs: number;
  written: number;
  suppressed: number;
}

/** Limits the lines of each diagnostic per interval and counts the suppressed ones. */
export class RepeatLimiter {
  private readonly intervals = new Map<number, Interval>();
  private nextEndMs = Infinity;

  constructor(
    private readonly timer: TimerService,
    private readonly linesPerInterval = LINES_PER_INTERVAL,
    private readonly intervalMs = REPEAT_INTERVAL_MS,
  ) {}

  /** Returns whether a line of the diagnostic may be written now; counts it in either case. */
  admit(diagnostic: Diagnostic): boolean {
    const nowMs = this.timer.now();
    let interval = this.intervals.get(diagnostic.code);
    if (interval === undefined) {
      interval = { diagnostic, endMs: nowMs + this.intervalMs, written: 0, suppressed: 0 };
      this.intervals.set(diagnostic.code, interval);
      this.nextEndMs = Math.min(this.nextEndMs, interval.endMs);
    }
    if (interval.written < this.linesPerInterval) {
      interval.written += 1;
      return true;
    }
    interval.suppressed += 1;
    return false;
  }

  /** Removes the intervals that have ended and returns the counts of their suppressed lines. */
  takeSuppressed(): readonly SuppressedLines[] {
    const nowMs = this.timer.now();
    return nowMs < this.nextEndMs ? [] : this.endIntervals(nowMs);
  }

  private endIntervals(nowMs: number): readonly SuppressedLines[] {
    const suppressed: SuppressedLines[] = [];
    this.nextEndMs = Infinity;
    for (const [code, interval] of this.intervals) {
      if (interval.endMs > nowMs) {
        this.nextEndMs = Math.min(this.nextEndMs, interval.endMs);
        continue;
      }
      this.intervals.delete(code);
      if (interval.suppressed > 0) {
        suppressed.push({ diagnostic: interval.diagnostic, count: interval.suppressed });
      }
    }
    return suppressed;
  }
}
