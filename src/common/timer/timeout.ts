import type { TimerService, Unsubscribe } from './timerService.js';

const PAUSE_MS = 50;
const ARRIVAL_TURN_MS = 1;

/**
 * Calls the handler after `delayMs` without an answer of another process. Time in which this
 * process itself stood still does not count, and what has arrived by then is handled first.
 */
export function startTimeout(
  timer: TimerService,
  delayMs: number,
  handler: () => void,
): Unsubscribe {
  let cancel: Unsubscribe;
  const arm = (): void => {
    const dueMs = timer.now() + delayMs;
    cancel = timer.once(delayMs, (nowMs) => {
      if (nowMs - dueMs > PAUSE_MS) {
        arm();
      } else {
        cancel = timer.once(ARRIVAL_TURN_MS, handler);
      }
    });
  };
  arm();
  return () => cancel();
}
