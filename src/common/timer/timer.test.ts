import { expect, test } from 'vitest';
import { ManualTimerService } from './index.js';

test('manual time calls subscribers in order of their due time', () => {
  const timer = new ManualTimerService();
  const calls: string[] = [];
  timer.subscribe(10, (nowMs) => calls.push(`every ${nowMs}`));
  const cancel = timer.once(15, (nowMs) => calls.push(`once ${nowMs}`));
  timer.once(12, () => cancel());
  timer.once(25, (nowMs) => calls.push(`once ${nowMs}`));
  timer.advance(30);
  expect(calls).toEqual(['every 10', 'every 20', 'once 25', 'every 30']);
});
