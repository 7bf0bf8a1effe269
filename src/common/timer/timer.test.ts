import { afterEach, expect, test, vi } from 'vitest';
import { ManualTimerService } from './index.js';
import { SharedTicks } from './sharedTicks.js';

afterEach(() => {
  vi.useRealTimers();
});

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

test('short intervals keep their paces on one timer of the runtime', () => {
  vi.useFakeTimers();
  const timer = new SharedTicks(() => Date.now());
  const counts = new Map<number, number>();
  const ends = [20, 5, 10, 25, 5].map((intervalMs) =>
    timer.subscribe(intervalMs, () => counts.set(intervalMs, (counts.get(intervalMs) ?? 0) + 1)),
  );
  expect(vi.getTimerCount()).toBe(1);
  vi.advanceTimersByTime(100);
  expect(Object.fromEntries(counts)).toEqual({ 5: 40, 10: 10, 20: 5, 25: 4 });
  ends.forEach((end) => end());
  expect(vi.getTimerCount()).toBe(0);
  vi.advanceTimersByTime(100);
  expect(counts.get(5)).toBe(40);
});

test('a handler that throws or unsubscribes another does not stop the rest', () => {
  vi.useFakeTimers();
  const timer = new SharedTicks(() => Date.now());
  const calls: string[] = [];
  timer.subscribe(10, () => {
    calls.push('first');
    end();
    throw new Error('of a handler');
  });
  const end = timer.subscribe(10, () => calls.push('unsubscribed'));
  timer.subscribe(20, () => calls.push('last'));
  expect(() => vi.advanceTimersByTime(10)).toThrow('of a handler');
  expect(() => vi.advanceTimersByTime(10)).toThrow('of a handler');
  expect(calls).toEqual(['first', 'first', 'last']);
});
