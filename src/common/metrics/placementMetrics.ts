import { Counter, type Registry } from 'prom-client';
import { PlacementEvent } from './placementEvent.js';

/** Counters of the placement by load. */
export class PlacementMetrics {
  private readonly events: Counter<'event'>;

  constructor(registry: Registry) {
    this.events = new Counter({
      name: 'filbertpoint_placement_events_total',
      help: 'Moves for load, and figures of work by what became of them; counted at the control leader.',
      labelNames: ['event'],
      registers: [registry],
    });
    for (const event of Object.values(PlacementEvent)) {
      this.events.labels(event).inc(0);
    }
  }

  /** Records a number of equal events. */
  record(event: PlacementEvent, count: number): void {
    this.events.labels(event).inc(count);
  }
}
