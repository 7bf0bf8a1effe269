import type { Counter } from 'prom-client';
import type { Diagnostic } from '../diagnostics/index.js';
import { RequestClass } from './requestClass.js';
import type { RequestTimes } from './requestTimes.js';
import type { TimeHistogram } from './timeHistogram.js';
import type { TimeSeries } from './timeSeries.js';

const SECONDS_PER_MS = 0.001;

/** Collectors of the metrics that are labelled by client account. */
export interface AccountCollectors {
  readonly wait: TimeHistogram;
  readonly service: TimeHistogram;
  readonly total: TimeHistogram;
  readonly admitted: Counter<'account'>;
  readonly refused: Counter<'account' | 'code'>;
  readonly tokensGranted: Counter<'account'>;
  readonly tokensReturned: Counter<'account'>;
}

interface ClassSeries {
  readonly wait: TimeSeries;
  readonly service: TimeSeries;
  readonly total: TimeSeries;
}

/** Records the requests and tokens of one client account; caches its labelled collectors. */
export class AccountMetrics {
  private readonly classes: Readonly<Record<RequestClass, ClassSeries>>;
  private readonly admitted: Counter.Internal;
  private readonly tokensGranted: Counter.Internal;
  private readonly tokensReturned: Counter.Internal;
  private readonly refusals = new Map<number, Counter.Internal>();

  constructor(
    private readonly label: string,
    private readonly collectors: AccountCollectors,
  ) {
    this.classes = {
      [RequestClass.Read]: this.createClassSeries(RequestClass.Read),
      [RequestClass.Write]: this.createClassSeries(RequestClass.Write),
      [RequestClass.Transaction]: this.createClassSeries(RequestClass.Transaction),
    };
    this.admitted = collectors.admitted.labels(label);
    this.tokensGranted = collectors.tokensGranted.labels(label);
    this.tokensReturned = collectors.tokensReturned.labels(label);
  }

  /** Records the times of an answered request by phase. */
  recordRequest(requestClass: RequestClass, times: RequestTimes): void {
    const series = this.classes[requestClass];
    series.wait.observe(times.waitMs * SECONDS_PER_MS);
    series.service.observe(times.serviceMs * SECONDS_PER_MS);
    series.total.observe(times.totalMs * SECONDS_PER_MS);
  }

  /** Records a request that was admitted under the account's rate. */
  recordAdmitted(): void {
    this.admitted.inc();
  }

  /** Records a refused request under the number of its diagnostic. */
  recordRefused(diagnostic: Diagnostic): void {
    let counter = this.refusals.get(diagnostic.code);
    if (counter === undefined) {
      counter = this.collectors.refused.labels(this.label, `FP${diagnostic.code}`);
      this.refusals.set(diagnostic.code, counter);
    }
    counter.inc();
  }

  /** Records rate tokens of the account that a holder granted. */
  recordTokensGranted(count: number): void {
    this.tokensGranted.inc(count);
  }

  /** Records rate tokens that were returned unused. */
  recordTokensReturned(count: number): void {
    this.tokensReturned.inc(count);
  }

  private createClassSeries(requestClass: RequestClass): ClassSeries {
    const labels = { account: this.label, class: requestClass };
    return {
      wait: this.collectors.wait.createSeries(labels),
      service: this.collectors.service.createSeries(labels),
      total: this.collectors.total.createSeries(labels),
    };
  }
}
