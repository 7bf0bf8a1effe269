import { Counter, Histogram, type Registry } from 'prom-client';
import { MAXIMUM_PRIORITY } from '../priority.js';
import { TIME_BUCKETS_SECONDS } from './timeHistogram.js';

const SECONDS_PER_MS = 0.001;
const OUTCOME_OK = 'ok';
/** Label of requests without a priority. */
const NO_PRIORITY = 'none';

/** Labelled collectors of one priority. */
interface PrioritySeries {
  readonly label: string;
  readonly wait: Histogram.Internal<'priority'>;
  readonly total: Histogram.Internal<'priority'>;
  readonly outcomes: Map<string, Counter.Internal>;
}

/** Requests of callers by priority, recorded by their entry host. */
export class PriorityMetrics {
  private readonly requests: Counter<'priority' | 'outcome'>;
  private readonly waits: Histogram<'priority'>;
  private readonly totals: Histogram<'priority'>;
  private readonly series = new Map<string, PrioritySeries>();

  constructor(registry: Registry) {
    this.requests = new Counter({
      name: 'filbertpoint_priority_requests_total',
      help: 'Ended requests by priority and outcome: ok or the diagnostic number.',
      labelNames: ['priority', 'outcome'],
      registers: [registry],
    });
    const options = { labelNames: ['priority'], buckets: TIME_BUCKETS_SECONDS } as const;
    this.waits = new Histogram({
      ...options,
      name: 'filbertpoint_priority_wait_seconds',
      help: 'Time at the holder or reader until an answered request was sent, by priority.',
      registers: [registry],
    });
    this.totals = new Histogram({
      ...options,
      name: 'filbertpoint_priority_total_seconds',
      help: 'Time from arrival to answer by priority.',
      registers: [registry],
    });
  }

  /** Records an answered request. */
  recordAnswered(priority: number | undefined, waitMs: number, totalMs: number): void {
    const series = this.getSeries(priority);
    this.count(series, OUTCOME_OK);
    series.wait.observe(waitMs * SECONDS_PER_MS);
    series.total.observe(totalMs * SECONDS_PER_MS);
  }

  /** Records a request that ended with a fault, under the number of its diagnostic. */
  recordRefused(priority: number | undefined, code: number): void {
    this.count(this.getSeries(priority), `FP${code}`);
  }

  private count({ label, outcomes }: PrioritySeries, outcome: string): void {
    let counter = outcomes.get(outcome);
    if (counter === undefined) {
      counter = this.requests.labels(label, outcome);
      outcomes.set(outcome, counter);
    }
    counter.inc();
  }

  private getSeries(priority: number | undefined): PrioritySeries {
    const label =
      priority === undefined ? NO_PRIORITY : String(Math.min(priority, MAXIMUM_PRIORITY));
    let series = this.series.get(label);
    if (series === undefined) {
      const wait = this.waits.labels(label);
      series = { label, wait, total: this.totals.labels(label), outcomes: new Map() };
      this.series.set(label, series);
    }
    return series;
  }
}
