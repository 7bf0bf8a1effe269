import { expect, test } from 'vitest';
import { AdaptiveTick } from './adaptiveTick.js';
import { ManualTimerService } from './manualTimerService.js';

test('uses the short interval while busy or once woken, and the long one while idle', () => {
  const timer = new ManualTimerService();
  const times: number[] = [];
  let busyUntilMs = 0;
  const tick = new AdaptiveTick(timer, 5, 100, (nowMs) => {
    times.push(nowMs);
    return nowMs < busyUntilMs;
  });
  timer.advance(150);
  busyUntilMs = 165;
  tick.wake();
  tick.wake();
  timer.advance(200);
  tick.stop();
  timer.advance(500);
  expect(times).toEqual([100, 155, 160, 165, 265]);
});
