import { TimerService, type Unsubscribe } from './timerService.js';

interface ScheduledCall {
  readonly handler: (nowMs: number) => void;
  readonly intervalMs: number | undefined;
  dueMs: number;
}

/** Timer service whose time advances only on request, for tests and experiments. */
export class ManualTimerService extends TimerService {
  override suspensions = 0;
  override suspendedMs = 0;
  /** Lead of the wall clock over the monotonic clock. */
  wallLeadMs = 0;
  private nowMs = 0;
  private readonly scheduledCalls = new Set<ScheduledCall>();

  override now(): number {
    return this.nowMs;
  }

  override wallNow(): number {
    return this.nowMs + this.wallLeadMs;
  }

  override subscribe(intervalMs: number, handler: (nowMs: number) => void): Unsubscribe {
    return this.schedule({ handler, intervalMs, dueMs: this.nowMs + intervalMs });
  }

  override once(delayMs: number, handler: (nowMs: number) => void): Unsubscribe {
    return this.schedule({ handler, intervalMs: undefined, dueMs: this.nowMs + delayMs });
  }

  /** Advances time by `durationMs` and calls the handlers that become due, in order of due time. */
  advance(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    for (let next = this.getNextDue(endMs); next !== undefined; next = this.getNextDue(endMs)) {
      this.nowMs = next.dueMs;
      if (next.intervalMs === undefined) {
        this.scheduledCalls.delete(next);
      } else {
        next.dueMs += next.intervalMs;
      }
      next.handler(this.nowMs);
    }
    this.nowMs = endMs;
  }

  private schedule(appointment: ScheduledCall): Unsubscribe {
    this.scheduledCalls.add(appointment);
    return () => this.scheduledCalls.delete(appointment);
  }

  private getNextDue(endMs: number): ScheduledCall | undefined {
    let next: ScheduledCall | undefined;
    for (const appointment of this.scheduledCalls) {
      if (appointment.dueMs <= endMs && (next === undefined || appointment.dueMs < next.dueMs)) {
        next = appointment;
      }
    }
    return next;
  }
}
