/** Ends a subscription; calling it again has no effect. */
export type Unsubscribe = () => void;

/** The one source of time: parts subscribe to it and never start timers of their own. */
export abstract class TimerService {
  /** Monotonic time in milliseconds; not related to the wall clock. */
  abstract now(): number;
  /**
   * How often this process may have stood still without `now` moving, as when its host was
   * suspended. What was promised for a time counts no more after such a moment.
   */
  abstract readonly suspensions: number;
  /** Calls the handler about every `intervalMs` until unsubscribed. */
  abstract subscribe(intervalMs: number, handler: (nowMs: number) => void): Unsubscribe;
  /** Calls the handler once after `delayMs` unless unsubscribed. */
  abstract once(delayMs: number, handler: (nowMs: number) => void): Unsubscribe;
}
