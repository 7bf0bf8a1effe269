import type { TimerService, Unsubscribe } from '../../common/timer/index.js';

const CHECK_INTERVAL_MS = 100;
/**
 * Time for which a request may wait in its socket: less than the second after which its caller may
 * have sent a newer one to another host.
 */
const MAXIMUM_WAIT_MS = 900;
/** Time after a pause in which requests are read that arrived during the pause. */
const READ_TIME_MS = 500;

/**
 * Tells whether a request that is read now may have arrived long before: during a pause of this
 * process or of its host, in which nothing was read from sockets.
 */
export class ArrivalMonitor {
  private lastCheckMs: number;
  private lastSuspensions: number;
  private uncertainUntilMs = -Infinity;

  constructor(private readonly timer: TimerService) {
    this.lastCheckMs = timer.now();
    this.lastSuspensions = timer.suspensions;
  }

  /** Starts the periodic checks; returns the function that ends them. */
  start(): Unsubscribe {
    this.check();
    return this.timer.subscribe(CHECK_INTERVAL_MS, () => this.check());
  }

  /** Whether a request that is read now may have waited for as long as its caller waits. */
  mayBeLate(): boolean {
    this.check();
    return this.lastCheckMs < this.uncertainUntilMs;
  }

  private check(): void {
    const nowMs = this.timer.now();
    const { suspensions } = this.timer;
    if (nowMs - this.lastCheckMs > MAXIMUM_WAIT_MS || suspensions !== this.lastSuspensions) {
      this.uncertainUntilMs = nowMs + READ_TIME_MS;
    }
    this.lastCheckMs = nowMs;
    this.lastSuspensions = suspensions;
  }
}
