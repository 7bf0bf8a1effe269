import { expect, test } from 'vitest';
import { Diagnostics } from '../diagnostics/index.js';
import { ManualTimerService } from '../timer/index.js';
import { Logger } from './logger.js';
import { RequestLog } from './requestLog.js';

function createLog() {
  const timer = new ManualTimerService();
  const lines: string[] = [];
  const logger = new Logger('info', { host: 'edge-1' }, (line) => lines.push(line));
  const log = new RequestLog(logger, timer);
  const note = (request: string, isNotable: boolean): void =>
    log.record(Diagnostics.RequestEnded, { outcome: 'ok' }, isNotable, () => ({ request }));
  return { timer, lines, note };
}

test('a sample of the requests that are not notable is written', () => {
  const { lines, note } = createLog();
  Array.from({ length: 1000 }, (_, index) => note(`r${index}`, false));
  expect(lines).toHaveLength(2);
});

test('refusals are written up to a rate limit, and those above it are counted', () => {
  const { timer, lines, note } = createLog();
  Array.from({ length: 5000 }, (_, index) => note(`r${index}`, true));
  expect(lines).toHaveLength(20);
  timer.advance(1000);
  note('next', true);
  expect(lines).toHaveLength(22);
  expect(lines.at(-2)).toContain('4980 more requests');
  expect(lines.at(-1)).toContain('request=next');
});
