import { performance } from 'node:perf_hooks';
import { SuspensionDetector } from './suspensionDetector.js';
import { TimerService, type Unsubscribe } from './timerService.js';

/** Start of this process on the clock of `SystemTimerService.now`, which counts from it. */
export const PROCESS_START_MS = 0;

/** Timer service on the operating system's monotonic clock. */
export class SystemTimerService extends TimerService {
  private readonly detector = new SuspensionDetector(
    () => performance.now(),
    () => Date.now(),
  );

  override now(): number {
    return performance.now();
  }

  override wallNow(): number {
    return Date.now();
  }

  override get suspensions(): number {
    return this.detector.count();
  }

  override get suspendedMs(): number {
    return this.detector.getTotalMs();
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
