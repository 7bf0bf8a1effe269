import { expect, test } from 'vitest';
import { RenewalBackoff } from './renewalBackoff.js';

const DURATION_MS = 2000;
const TICK_MS = 50;

test('a host that does not answer is tried at increasing intervals and never abandoned', () => {
  const backoff = new RenewalBackoff();
  const attemptTimes: number[] = [];
  for (let nowMs = 0; nowMs <= DURATION_MS; nowMs += TICK_MS) {
    if (backoff.canAttempt('slow', nowMs)) {
      backoff.recordAttempt('slow', nowMs);
      attemptTimes.push(nowMs);
    }
  }
  expect(attemptTimes).toEqual([0, 100, 300, 700, 1100, 1500, 1900]);
});

test('a host that is named as leader is tried immediately unless an attempt is pending', () => {
  const backoff = new RenewalBackoff();
  backoff.recordAttempt('c1', 0);
  backoff.recordNamedLeader('c1');
  expect(backoff.canAttempt('c1', 10)).toBe(false);
  backoff.recordAttemptEnd('c1');
  expect(backoff.canAttempt('c1', 10)).toBe(false);
  backoff.recordNamedLeader('c1');
  expect(backoff.canAttempt('c1', 10)).toBe(true);
  backoff.recordAttempt('c1', 10);
  backoff.reset();
  expect(backoff.canAttempt('c1', 20)).toBe(true);
});
