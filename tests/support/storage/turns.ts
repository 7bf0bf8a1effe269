import { setImmediate } from 'node:timers/promises';
import type { ManualTimerService } from '../../../src/common/timer/index.js';

/** Moves time on in steps, and lets what each step set off come to its end. */
export async function passTime(
  timer: ManualTimerService,
  durationMs: number,
  stepMs: number,
): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
    timer.advance(stepMs);
    await setImmediate();
  }
}
