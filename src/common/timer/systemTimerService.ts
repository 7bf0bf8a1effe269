import { performance } from 'node:perf_hooks';
import { TimerService, type Unsubscribe } from './timerService.js';

/** Time from the operating system's monotonic clock. */
export class SystemTimerService extends TimerService {
  override now(): number {
    return performance.now();
  }

  override subscribe(intervalMs: number, handler: (nowMs: number) => void): Unsubscribe {
    const handle = setInterval(() => handler(this.now()), intervalMs);
    return () => clearInterval(handle);
  }

  override once(delayMs: number, handler: (nowMs: number) => void): Unsubscribe {
    const handle = setTimeout(() => handler(this.now()), delayMs);
    return () => clearTimeout(handle);
  }
}
