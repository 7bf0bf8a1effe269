import { expect, test } from 'vitest';
import { RenewalBackoff } from './renewalBackoff.js';

const DURATION_MS = 2000;
const TICK_MS = 50;

test('a host that does not answer is tried at increasing intervals and never abandoned', () => {
  const pace = new RenewalBackoff();
  const asked: number[] = [];
  for (let nowMs = 0; nowMs <= DURATION_MS; nowMs += TICK_MS) {
    if (pace.canAttempt('slow', nowMs)) {
      pace.recordAttempt('slow', nowMs);
      asked.push(nowMs);
    }
  }
  expect(asked).toEqual([0, 100, 300, 700, 1100, 1500, 1900]);
});

test('a host that is named as leader is tried immediately unless an attempt is pending', () => {
  const pace = new RenewalBackoff();
  pace.recordAttempt('c1', 0);
  pace.recordNamedLeader('c1');
  expect(pace.canAttempt('c1', 10)).toBe(false);
  pace.recordAttemptEnd('c1');
  expect(pace.canAttempt('c1', 10)).toBe(false);
  pace.recordNamedLeader('c1');
  expect(pace.canAttempt('c1', 10)).toBe(true);
  pace.recordAttempt('c1', 10);
  pace.reset();
  expect(pace.canAttempt('c1', 20)).toBe(true);
});
