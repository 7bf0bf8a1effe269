import { Counter, type Registry } from 'prom-client';

/** Counters of the choice between readers by measured time. */
export class ReaderMetrics {
  private readonly exclusions: Counter;
  private readonly trials: Counter;

  constructor(registry: Registry) {
    const registers = [registry];
    this.exclusions = new Counter({
      name: 'filbertpoint_reader_exclusions_total',
      help: 'Times that this entry host excluded a reader because it was slow or failing.',
      registers,
    });
    this.trials = new Counter({
      name: 'filbertpoint_reader_trials_total',
      help: 'Requests of this entry host that were sent to excluded readers as trials.',
      registers,
    });
  }

  /** Counts an exclusion that began. */
  recordExclusion(): void {
    this.exclusions.inc();
  }

  /** Counts requests that were sent to excluded readers. */
  recordTrials(count: number): void {
    this.trials.inc(count);
  }
}
