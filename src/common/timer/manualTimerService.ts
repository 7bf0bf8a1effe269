import { TimerService, type Unsubscribe } from './timerService.js';

interface Appointment {
  readonly handler: (nowMs: number) => void;
  readonly intervalMs: number | undefined;
  dueMs: number;
}

/** Timer service whose time advances only on request, for tests and experiments. */
export class ManualTimerService extends TimerService {
  override suspensions = 0;
  private nowMs = 0;
  private readonly appointments = new Set<Appointment>();

  override now(): number {
    return this.nowMs;
  }

  override subscribe(intervalMs: number, handler: (nowMs: number) => void): Unsubscribe {
    return this.add({ handler, intervalMs, dueMs: this.nowMs + intervalMs });
  }

  override once(delayMs: number, handler: (nowMs: number) => void): Unsubscribe {
    return this.add({ handler, intervalMs: undefined, dueMs: this.nowMs + delayMs });
  }

  /** Advances time by `durationMs` and calls the handlers that become due, in order of due time. */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (let next = this.nextDue(endMs); next !== undefined; next = this.nextDue(endMs)) {
      this.nowMs = next.dueMs;
      if (next.intervalMs === undefined) {
        this.appointments.delete(next);
      } else {
        next.dueMs += next.intervalMs;
      }
      next.handler(this.nowMs);
    }
    this.nowMs = endMs;
  }

  private add(appointment: Appointment): Unsubscribe {
    this.appointments.add(appointment);
    return () => this.appointments.delete(appointment);
  }

  private nextDue(endMs: number): Appointment | undefined {
    let next: Appointment | undefined;
    for (const appointment of this.appointments) {
      if (appointment.dueMs <= endMs && (next === undefined || appointment.dueMs < next.dueMs)) {
        next = appointment;
      }
    }
    return next;
  }
}
