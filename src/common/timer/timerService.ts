/** Ends a subscription; calling it again has no effect. */
export type Unsubscribe = () => void;

/** Single source of time: other modules subscribe to it and never start timers of their own. */
export abstract class TimerService {
  /** Monotonic time in milliseconds; not related to the wall clock. */
  abstract now(): number;
  /** Wall clock time in milliseconds since 1970; it may jump, and be wrong on this host. */
  abstract wallNow(): number;
  /**
   * Number of times that this process may have been paused without `now` advancing, such as by a
   * suspension of its host. Time-limited guarantees, such as leases, are void after such a pause.
   */
  abstract readonly suspensions: number;
  /** Total length of these pauses in milliseconds, as the wall clock has it. */
  abstract readonly suspendedMs: number;
  /** Calls the handler about every `intervalMs` until unsubscribed. */
  abstract subscribe(intervalMs: number, handler: (nowMs: number) => void): Unsubscribe;
  /** Calls the handler once after `delayMs` unless unsubscribed. */
  abstract once(delayMs: number, handler: (nowMs: number) => void): Unsubscribe;
}
