import type { TimerService, Unsubscribe } from '../../common/timer/index.js';

const CHECK_INTERVAL_MS = 100;
/** Time after a pause in which requests are read that arrived during the pause. */
const READ_TIME_MS = 500;

/**
 * Bounds the time for which a request that is read now has waited in its socket: as long as the
 * last pause of this process or of its host, in which nothing was read, or hardly at all.
 */
export class ArrivalMonitor {
  private lastCheckMs: number;
  private lastSuspensions: number;
  private pauseMs = 0;
  private pauseEndMs = -Infinity;

  constructor(private readonly timer: TimerService) {
    this.lastCheckMs = timer.now();
    this.lastSuspensions = timer.suspensions;
  }

  /** Starts the periodic checks; returns the function that ends them. */
  start(): Unsubscribe {
    this.check();
    return this.timer.subscribe(CHECK_INTERVAL_MS, () => this.check());
  }

  /**
   * Returns the longest time for which a request that is read now may have waited, in milliseconds;
   * infinite after a suspension, whose length the clock does not tell.
   */
  getLongestWaitMs(): number {
    this.check();
    return this.lastCheckMs - this.pauseEndMs < READ_TIME_MS ? this.pauseMs : 0;
  }

  private check(): void {
    const nowMs = this.timer.now();
    const { suspensions } = this.timer;
    const pauseMs = suspensions === this.lastSuspensions ? nowMs - this.lastCheckMs : Infinity;
    const isOver = nowMs - this.pauseEndMs >= READ_TIME_MS;
    // A shorter pause does not hide a longer one whose requests are still being read.
    if (pauseMs > CHECK_INTERVAL_MS && (isOver || pauseMs >= this.pauseMs)) {
      this.pauseMs = pauseMs;
      this.pauseEndMs = nowMs;
    }
    this.lastCheckMs = nowMs;
    this.lastSuspensions = suspensions;
  }
}
