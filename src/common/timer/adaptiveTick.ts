import type { TimerService, Unsubscribe } from './timerService.js';

/**
 * Calls a handler often while it has something to do and seldom otherwise: a host with hundreds of
 * idle daemons' worth of timers pays for each time that one fires.
 */
export class AdaptiveTick {
  private scheduled: Unsubscribe | undefined;
  private isBusy = false;
  private stopped = false;

  constructor(
    private readonly timer: TimerService,
    private readonly busyMs: number,
    private readonly idleMs: number,
    /** Does what is due; whether there is more to do soon. */
    private readonly handler: (nowMs: number) => boolean,
  ) {
    this.schedule();
  }

  /** Says that there is something to do. */
  wake(): void {
    if (!this.isBusy && !this.stopped) {
      this.isBusy = true;
      this.scheduled?.();
      this.schedule();
    }
  }

  /** Calls the handler no more. */
  stop(): void {
    this.stopped = true;
    this.scheduled?.();
  }

  private schedule(): void {
    this.scheduled = this.timer.once(this.isBusy ? this.busyMs : this.idleMs, (nowMs) => {
      this.isBusy = this.handler(nowMs);
      if (!this.stopped) {
        this.schedule();
      }
    });
  }
}
