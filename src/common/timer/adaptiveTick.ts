import type { TimerService, Unsubscribe } from './timerService.js';

/**
 * Calls a handler at a short interval while it has work and at a long one while it is idle. Each
 * timer that fires costs processor time, which adds up on a host with the timers of hundreds of
 * idle daemons.
 */
export class AdaptiveTick {
  private scheduled: Unsubscribe | undefined;
  private isBusy = false;
  private isStopped = false;

  constructor(
    private readonly timer: TimerService,
    private readonly busyMs: number,
    private readonly idleMs: number,
    /** Does the work that is due; returns whether more is expected soon. */
    private readonly handler: (nowMs: number) => boolean,
  ) {
    this.schedule();
  }

  /** Switches to the short interval because there is new work. */
  wake(): void {
    if (!this.isBusy && !this.isStopped) {
      this.isBusy = true;
      this.scheduled?.();
      this.schedule();
    }
  }

  /** Stops calling the handler. */
  stop(): void {
    this.isStopped = true;
    this.scheduled?.();
  }

  private schedule(): void {
    this.scheduled = this.timer.once(this.isBusy ? this.busyMs : this.idleMs, (nowMs) => {
      this.isBusy = this.handler(nowMs);
      if (!this.isStopped) {
        this.schedule();
      }
    });
  }
}
