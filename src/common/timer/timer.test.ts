import { expect, test } from 'vitest';
import { ManualTimerService, startTimeout } from './index.js';

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

test('a timeout does not count the time in which the process was paused', () => {
  class PausingTimer extends ManualTimerService {
    pausedMs = 0;
    override once(delayMs: number, handler: (nowMs: number) => void): () => void {
      return super.once(delayMs, (nowMs) => handler(nowMs + this.pausedMs));
    }
    override now(): number {
      return super.now() + this.pausedMs;
    }
  }
  const timer = new PausingTimer();
  const calls: string[] = [];
  startTimeout(timer, 100, () => calls.push('over'));
  startTimeout(timer, 100, () => calls.push('cancelled'))();
  timer.advance(60);
  timer.pausedMs = 500;
  timer.advance(60);
  expect(calls).toEqual([]);
  timer.advance(100);
  expect(calls).toEqual(['over']);
});
