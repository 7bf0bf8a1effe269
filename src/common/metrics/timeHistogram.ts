import { Histogram, type Registry } from 'prom-client';
import { TimeSeries } from './timeSeries.js';

/** Upper bounds of the buckets, in seconds. */
export const TIME_BUCKETS_SECONDS = [
  0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30,
];

/** Labels of one series. */
export interface TimeLabels {
  readonly account: string;
  readonly class: string;
}

type CollectedHistogram = ReturnType<Histogram<keyof TimeLabels>['get']>;

interface TimeValue {
  readonly metricName: string;
  readonly labels: object;
  readonly value: number;
}

interface LabelledSeries {
  readonly labels: TimeLabels;
  readonly series: TimeSeries;
}

/**
 * Histogram whose callers hold the series that they record into, because looking up a series by its
 * labels for each observation costs more than the observation itself.
 */
export class TimeHistogram extends Histogram<keyof TimeLabels> {
  private readonly labelledSeries: LabelledSeries[] = [];

  constructor(
    private readonly metricName: string,
    private readonly helpText: string,
    registry: Registry,
  ) {
    super({
      name: metricName,
      help: helpText,
      labelNames: ['account', 'class'],
      buckets: TIME_BUCKETS_SECONDS,
      registers: [registry],
    });
  }

  /** Creates the series of a set of labels; to be called once per set. */
  createSeries(labels: TimeLabels): TimeSeries {
    const series = new TimeSeries(TIME_BUCKETS_SECONDS);
    this.labelledSeries.push({ labels, series });
    return series;
  }

  /** Returns the values of all non-empty series in the form that the registry formats. */
  override get(): CollectedHistogram {
    const used = this.labelledSeries.filter(({ series }) => series.count > 0);
    const collected = {
      name: this.metricName,
      help: this.helpText,
      type: 'histogram',
      values: used.flatMap((each) => this.createValues(each)),
      aggregator: 'sum',
    };
    return Promise.resolve(collected) as unknown as CollectedHistogram;
  }

  /** Returns the same as `get`; the registry calls this method for the text format. */
  getForPromString(): CollectedHistogram {
    return this.get();
  }

  private createValues({ labels, series }: LabelledSeries): readonly TimeValue[] {
    const name = this.metricName;
    let cumulativeCount = 0;
    const buckets = [...TIME_BUCKETS_SECONDS, '+Inf'].map((le, index) => {
      cumulativeCount += series.counts[index] ?? 0;
      return { metricName: `${name}_bucket`, labels: { le, ...labels }, value: cumulativeCount };
    });
    return [
      ...buckets,
      { metricName: `${name}_sum`, labels, value: series.sum },
      { metricName: `${name}_count`, labels, value: series.count },
    ];
  }
}
