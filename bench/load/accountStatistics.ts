import { build, type Histogram } from 'hdr-histogram-js';
import { LoadOutcome } from './loadOutcome.js';

const US_PER_MS = 1000;
const HIGHEST_LATENCY_US = 600_000_000;

/** Percentiles of times in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly maximumMs: number;
}

/** What one account saw. */
export interface AccountReport {
  readonly account: string;
  readonly offered: number;
  readonly outcomes: Readonly<Record<LoadOutcome, number>>;
  /** Requests that were not acknowledged, by SQLSTATE or client error. */
  readonly codes: Readonly<Record<string, number>>;
  /** From the arrival to the acknowledgement. */
  readonly latency: LatencySummary;
  /** Acknowledged requests by statement. */
  readonly statements: Readonly<Record<string, number>>;
  /** The longest time in which no write was acknowledged. */
  readonly longestWriteGapMs: number;
  readonly violations: readonly string[];
}

/** Counts and times of one account's requests. */
export class AccountStatistics {
  private offered = 0;
  private readonly outcomes = createCounts();
  private readonly codes = new Map<string, number>();
  private readonly statements = new Map<string, number>();
  private readonly violations: string[] = [];
  private readonly latency: Histogram = build({
    highestTrackableValue: HIGHEST_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  private longestWriteGapMs = 0;
  private lastWriteMs: number | undefined;

  constructor(private readonly account: string) {}

  /** Counts a request that arrived. */
  arrive(): void {
    this.offered += 1;
  }

  /** Records an acknowledged request. */
  acknowledge(statement: string, isWrite: boolean, arrivedMs: number, nowMs: number): void {
    this.outcomes[LoadOutcome.Acknowledged] += 1;
    this.statements.set(statement, (this.statements.get(statement) ?? 0) + 1);
    this.latency.recordValue(Math.max(0, Math.round((nowMs - arrivedMs) * US_PER_MS)));
    if (isWrite) {
      this.markWriteGap(nowMs);
      this.lastWriteMs = nowMs;
    }
  }

  /** Records a request that was not acknowledged. */
  fail(outcome: LoadOutcome, code: string): void {
    this.outcomes[outcome] += 1;
    this.codes.set(code, (this.codes.get(code) ?? 0) + 1);
  }

  /** Records an answer that breaks a promise. */
  violate(promise: string): void {
    this.violations.push(promise);
  }

  /** Begins the time over which gaps are looked for. */
  begin(nowMs: number): void {
    this.lastWriteMs = nowMs;
  }

  /** Ends the time over which gaps are looked for. */
  end(nowMs: number): void {
    this.markWriteGap(nowMs);
  }

  /** The figures so far. */
  getReport(): AccountReport {
    return {
      account: this.account,
      offered: this.offered,
      outcomes: { ...this.outcomes },
      codes: Object.fromEntries(this.codes),
      latency: summarize(this.latency),
      statements: Object.fromEntries(this.statements),
      longestWriteGapMs: this.longestWriteGapMs,
      violations: [...this.violations],
    };
  }

  private markWriteGap(nowMs: number): void {
    const gapMs = nowMs - (this.lastWriteMs ?? nowMs);
    this.longestWriteGapMs = Math.max(this.longestWriteGapMs, gapMs);
  }
}

function createCounts(): Record<LoadOutcome, number> {
  return {
    [LoadOutcome.Acknowledged]: 0,
    [LoadOutcome.NotRun]: 0,
    [LoadOutcome.Unknown]: 0,
    [LoadOutcome.Failed]: 0,
    [LoadOutcome.Unsent]: 0,
  };
}

function summarize(histogram: Histogram): LatencySummary {
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / US_PER_MS;
  return {
    count: histogram.totalCount,
    p50Ms: at(50),
    p90Ms: at(90),
    p99Ms: at(99),
    maximumMs: histogram.totalCount === 0 ? 0 : histogram.maxValue / US_PER_MS,
  };
}
