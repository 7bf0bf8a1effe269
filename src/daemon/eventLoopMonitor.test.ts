import { expect, test } from 'vitest';
import { Logger } from '../common/logging/index.js';
import { ManualTimerService } from '../common/timer/index.js';
import { EventLoopMonitor } from './eventLoopMonitor.js';

class DelayedTimerService extends ManualTimerService {
  heldMs = 0;

  override subscribe(intervalMs: number, handler: (nowMs: number) => void): () => void {
    return super.subscribe(intervalMs, (nowMs) => handler(nowMs + this.heldMs));
  }
}

test('a blocked event loop is logged with its processor time, but not on every check', () => {
  const lines: string[] = [];
  const timer = new DelayedTimerService();
  let usedMs = 0;
  const logger = new Logger('info', {}, (line) => lines.push(line));
  new EventLoopMonitor(timer, logger, () => usedMs).start();
  timer.advance(1000);
  expect(lines).toEqual([]);
  timer.heldMs = 400;
  usedMs = 60;
  timer.advance(100);
  expect(lines).toHaveLength(1);
  expect(lines[0]).toContain('for 400 ms');
  expect(lines[0]).toContain('processorMs=60');
  timer.heldMs = 700;
  timer.advance(100);
  expect(lines).toHaveLength(1);
});
