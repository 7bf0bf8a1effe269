import type { TimerService, Unsubscribe } from '../../common/timer/index.js';

const CHECK_INTERVAL_MS = 100;
/** Time after a pause in which requests are read that arrived during the pause. */
const READ_TIME_MS = 500;
/** Time after which TCP first resends bytes that were not acknowledged; it doubles each time. */
const FIRST_RESEND_MS = 200;

/** A pause of this process or of its host, in which nothing was read, or hardly at all. */
export interface ArrivalPause {
  /** Length in milliseconds, including that of a suspension as the wall clock has it. */
  readonly lengthMs: number;
  /** Time since its end, in milliseconds. */
  readonly sinceMs: number;
}

/**
 * Bounds the time for which a request that is read now has waited since its caller sent it. It may
 * have waited in its socket during the last pause of this process. If the whole host was suspended,
 * the caller's TCP resends it after up to twice the time for which it did so in vain, so that it
 * may still arrive for as long after the pause as the pause was.
 */
export class ArrivalMonitor {
  private lastCheckMs: number;
  private lastSuspensions: number;
  private lastSuspendedMs: number;
  private pauseMs = 0;
  /** Whether the clock did not count the pause, so that its length is uncertain. */
  private isSuspension = false;
  private pauseEndMs = -Infinity;

  constructor(private readonly timer: TimerService) {
    this.lastCheckMs = timer.now();
    this.lastSuspensions = timer.suspensions;
    this.lastSuspendedMs = timer.suspendedMs;
  }

  /** Starts the periodic checks; returns the function that ends them. */
  start(): Unsubscribe {
    this.check();
    return this.timer.subscribe(CHECK_INTERVAL_MS, () => this.check());
  }

  /** The last pause; undefined if there was none since the start. */
  get lastPause(): ArrivalPause | undefined {
    this.check();
    return Number.isFinite(this.pauseEndMs)
      ? { lengthMs: this.pauseMs, sinceMs: this.lastCheckMs - this.pauseEndMs }
      : undefined;
  }

  /**
   * Returns the longest time for which a request that is read now may have waited, in milliseconds;
   * infinite after a suspension, whose length the clock does not tell.
   */
  getLongestWaitMs(): number {
    this.check();
    const sinceMs = this.lastCheckMs - this.pauseEndMs;
    const isResent = sinceMs < this.pauseMs + FIRST_RESEND_MS;
    if (!isResent && sinceMs >= READ_TIME_MS) {
      return 0;
    }
    if (this.isSuspension) {
      return Infinity;
    }
    return isResent ? this.pauseMs + sinceMs : this.pauseMs;
  }

  private check(): void {
    const nowMs = this.timer.now();
    const { suspensions, suspendedMs } = this.timer;
    const isSuspension = suspensions !== this.lastSuspensions;
    const pauseMs = nowMs - this.lastCheckMs + suspendedMs - this.lastSuspendedMs;
    const restMs = Math.max(READ_TIME_MS, this.pauseMs + FIRST_RESEND_MS);
    const isOver = nowMs - this.pauseEndMs >= restMs;
    // A shorter pause does not hide a longer one whose requests may still arrive.
    if (isSuspension || (pauseMs > CHECK_INTERVAL_MS && (isOver || pauseMs >= this.pauseMs))) {
      this.pauseMs = isOver ? pauseMs : Math.max(pauseMs, this.pauseMs);
      this.isSuspension = isSuspension || (this.isSuspension && !isOver);
      this.pauseEndMs = nowMs;
    }
    this.lastCheckMs = nowMs;
    this.lastSuspensions = suspensions;
    this.lastSuspendedMs = suspendedMs;
  }
}
