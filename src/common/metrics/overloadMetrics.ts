import { Counter, type Registry } from 'prom-client';

/** Highest priority with its own label; less urgent ones share a label. */
const MAXIMUM_PRIORITY_LABEL = 2;
const NO_PRIORITY_LABEL = 'none';
const OTHER_PRIORITY_LABEL = 'other';

/** Counters of the overload control of an entry host. */
export class OverloadMetrics {
  private readonly admitted: Counter<'priority'>;
  private readonly trials: Counter<'priority'>;
  private readonly refused: Counter<'reason' | 'priority'>;
  private readonly ignoredFigures: Counter<'reason'>;
  private readonly delayedRetries: Counter;
  /** Labelled counters of admitted requests: finding them costs more than counting. */
  private readonly admittedByPriority = new Map<number | undefined, Counter.Internal>();

  constructor(registry: Registry) {
    const registers = [registry];
    this.admitted = new Counter({
      name: 'filbertpoint_overload_admitted_total',
      help: 'Requests that the overload control of this entry host admitted, by priority.',
      labelNames: ['priority'],
      registers,
    });
    this.trials = new Counter({
      name: 'filbertpoint_overload_trials_total',
      help: 'Requests admitted as trials although the load figures spoke against it.',
      labelNames: ['priority'],
      registers,
    });
    this.refused = new Counter({
      name: 'filbertpoint_overload_refused_total',
      help: 'Requests refused because of overload, by reason: new or repeated at this entry host, or by the queue.',
      labelNames: ['reason', 'priority'],
      registers,
    });
    this.ignoredFigures = new Counter({
      name: 'filbertpoint_overload_ignored_figures_total',
      help: 'Load figures that were ignored, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this.delayedRetries = new Counter({
      name: 'filbertpoint_overload_delayed_retries_total',
      help: 'Retries inside the system that were delayed because their budget was used up.',
      registers,
    });
  }

  /** Counts a request that was admitted. */
  recordAdmitted(priority: number | undefined): void {
    let counter = this.admittedByPriority.get(priority);
    if (counter === undefined) {
      counter = this.admitted.labels(getLabel(priority));
      this.admittedByPriority.set(priority, counter);
    }
    counter.inc();
  }

  /** Counts a request that was admitted as a trial. */
  recordTrial(priority: number | undefined): void {
    this.trials.inc({ priority: getLabel(priority) });
  }

  /** Counts a request that was refused because of overload. */
  recordRefused(reason: string, priority: number | undefined): void {
    this.refused.inc({ reason, priority: getLabel(priority) });
  }

  /** Counts a load figure that was ignored. */
  recordIgnoredFigure(reason: string): void {
    this.ignoredFigures.inc({ reason });
  }

  /** Counts a retry that was delayed for lack of budget. */
  recordDelayedRetry(): void {
    this.delayedRetries.inc();
  }
}

function getLabel(priority: number | undefined): string {
  if (priority === undefined) {
    return NO_PRIORITY_LABEL;
  }
  return priority <= MAXIMUM_PRIORITY_LABEL ? String(priority) : OTHER_PRIORITY_LABEL;
}
