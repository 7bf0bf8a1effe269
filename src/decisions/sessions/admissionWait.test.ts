import { expect, test } from 'vitest';
import { AdmissionWait } from './admissionWait.js';

test('callers wait for the first admission of a host that starts', () => {
  const wait = new AdmissionWait();
  wait.record(false, 0);
  wait.record(false, 1000);
  expect(wait.isOver(0, 1500)).toBe(false);
  expect(wait.isOver(0, 1501)).toBe(true);
  expect(wait.isOver(1000, 1501)).toBe(false);
});

test('a host that can no longer admit callers refuses them, whenever they came', () => {
  const wait = new AdmissionWait();
  wait.record(true, 0);
  wait.record(false, 1000);
  wait.record(false, 1050);
  expect(wait.isOver(900, 1099)).toBe(false);
  expect([900, 1000, 1100, 5000].map((arrivedMs) => wait.isOver(arrivedMs, 5000))).toEqual(
    Array(4).fill(true),
  );
});

test('a host that can admit callers again lets the next loss pass for a moment', () => {
  const wait = new AdmissionWait();
  wait.record(true, 0);
  wait.record(false, 1000);
  wait.record(true, 1400);
  wait.record(false, 3000);
  expect(wait.isOver(3000, 3050)).toBe(false);
  expect(wait.isOver(3000, 3100)).toBe(true);
});

test('idle sessions end only on a host that could admit callers and has not for a second', () => {
  const wait = new AdmissionWait();
  wait.record(false, 0);
  expect(wait.endsIdleSessions(10_000)).toBe(false);
  wait.record(true, 10_000);
  wait.record(false, 11_000);
  expect([11_999, 12_000].map((nowMs) => wait.endsIdleSessions(nowMs))).toEqual([false, true]);
  wait.record(true, 12_500);
  expect(wait.endsIdleSessions(13_000)).toBe(false);
});
