import type { Diagnostic } from '../diagnostics/index.js';
import type { TimerService } from '../timer/index.js';

/** Lines of one diagnostic that are written in each interval. */
export const LINES_PER_INTERVAL = 20;
/** Length of the interval. */
export const REPEAT_INTERVAL_MS = 10_000;

/** How many lines of one diagnostic were left out. */
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

/** Limits the lines of each diagnostic in an interval and counts those left out. */
export class RepeatLimiter {
  private readonly intervals = new Map<number, Interval>();
  private nextEndMs = Infinity;

  constructor(
    private readonly timer: TimerService,
    private readonly linesPerInterval = LINES_PER_INTERVAL,
    private readonly intervalMs = REPEAT_INTERVAL_MS,
  ) {}

  /** Whether one more line of the diagnostic may be written now; counts it either way. */
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

  /** Ends the intervals that are over and takes what they left out. */
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
