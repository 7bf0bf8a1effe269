import { performance } from 'node:perf_hooks';
import { SharedTicks } from './sharedTicks.js';
import { TimerService, type Unsubscribe } from './timerService.js';

/** Longest interval that shares a timer with others. */
const SHARED_INTERVAL_MS = 25;

/** Time from the operating system's monotonic clock. */
export class SystemTimerService extends TimerService {
  private readonly ticks = new SharedTicks(() => this.now());

  override now(): number {
    return performance.now();
  }

  override subscribe(intervalMs: number, handler: (nowMs: number) => void): Unsubscribe {
    if (intervalMs <= SHARED_INTERVAL_MS) {
      return this.ticks.subscribe(intervalMs, handler);
    }
    const handle = setInterval(() => handler(this.now()), intervalMs);
    return () => clearInterval(handle);
  }

  override once(delayMs: number, handler: (nowMs: number) => void): Unsubscribe {
    const handle = setTimeout(() => handler(this.now()), delayMs);
    return () => clearTimeout(handle);
  }
}
