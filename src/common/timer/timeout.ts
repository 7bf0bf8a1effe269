import type { TimerService, Unsubscribe } from './timerService.js';

const PAUSE_THRESHOLD_MS = 50;
const ARRIVAL_DELAY_MS = 1;

/**
 * Calls the handler after `delayMs` unless cancelled; meant for answers of other processes. A timer
 * that fires more than 50 ms late shows that this process was paused: the delay then starts again.
 * Messages that have arrived by the end of the delay are handled before the handler is called.
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
      if (nowMs - dueMs > PAUSE_THRESHOLD_MS) {
        arm();
      } else {
        cancel = timer.once(ARRIVAL_DELAY_MS, handler);
      }
    });
  };
  arm();
  return () => cancel();
}
