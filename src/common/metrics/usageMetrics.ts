import { Counter, type Registry } from 'prom-client';
import { UsageEvent } from './usageEvent.js';

/** Counters of usage windows and reports, and of requests that were counted too late. */
export class UsageMetrics {
  private readonly events: Counter<'event'>;
  private readonly dropped: Counter;
  private droppedCount = 0;

  constructor(registry: Registry) {
    this.events = new Counter({
      name: 'filbertpoint_usage_windows_total',
      help: 'Usage windows and reports by what happened; counted at the control leader.',
      labelNames: ['event'],
      registers: [registry],
    });
    this.dropped = new Counter({
      name: 'filbertpoint_usage_dropped_total',
      help: 'Requests left out of the usage because their window was final or too old.',
      registers: [registry],
    });
    for (const event of Object.values(UsageEvent)) {
      this.events.labels(event).inc(0);
    }
  }

  /** Records what happened to a number of windows. */
  record(event: UsageEvent, count: number): void {
    this.events.labels(event).inc(count);
  }

  /** Sets the number of requests that this host left out since its start. */
  setDropped(count: number): void {
    this.dropped.inc(Math.max(0, count - this.droppedCount));
    this.droppedCount = Math.max(count, this.droppedCount);
  }
}
