import type { TimerService } from '../../common/timer/index.js';

const CHECK_INTERVAL_MS = 100;
/**
 * Shortest time without a check that counts as a pause. It is longer than a process with a third of
 * a core regularly waits for the processor (some 70 ms of each 100).
 */
const PAUSE_MS = 250;

/**
 * Notices that this process was paused, so that the response times of requests that were in flight
 * meanwhile are not held against those who answered them.
 */
export class PauseWatch {
  private checkedMs: number;
  private pauseEndMs = Number.NEGATIVE_INFINITY;

  constructor(timer: TimerService) {
    this.checkedMs = timer.now();
    timer.subscribe(CHECK_INTERVAL_MS, (nowMs) => this.check(nowMs));
  }

  /** Whether the process was paused at some time from `sinceMs` until now. */
  wasPaused(sinceMs: number, nowMs: number): boolean {
    // Answers that arrived meanwhile are handled before the timer.
    this.check(nowMs);
    return sinceMs < this.pauseEndMs;
  }

  private check(nowMs: number): void {
    if (nowMs - this.checkedMs >= PAUSE_MS) {
      this.pauseEndMs = nowMs;
    }
    this.checkedMs = nowMs;
  }
}
