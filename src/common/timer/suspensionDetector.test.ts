import { expect, test } from 'vitest';
import { SuspensionDetector } from './suspensionDetector.js';

function createClocks() {
  const clocks = { monotonicMs: 1000, wallMs: 5_000_000 };
  const detector = new SuspensionDetector(
    () => clocks.monotonicMs,
    () => clocks.wallMs,
  );
  const advance = (monotonicMs: number, wallMs = monotonicMs): number => {
    clocks.monotonicMs += monotonicMs;
    clocks.wallMs += wallMs;
    return detector.count();
  };
  return { advance };
}

test('clocks that advance together count as no suspension, however long the pause', () => {
  const { advance } = createClocks();
  expect([advance(5), advance(60_000), advance(5)]).toEqual([0, 0, 0]);
});

test('each gain of the wall clock over the monotonic clock counts as one suspension', () => {
  const { advance } = createClocks();
  expect([advance(5, 3000), advance(5), advance(5, 40), advance(5)]).toEqual([1, 1, 2, 2]);
});

test('a wall clock set back is no suspension and neither hides nor causes a later one', () => {
  const { advance } = createClocks();
  expect([advance(5, -2000), advance(5), advance(5, 2005), advance(5)]).toEqual([0, 0, 1, 1]);
});

test('small gains that add up over many readings finally count as one suspension', () => {
  const { advance } = createClocks();
  const counts = Array.from({ length: 20 }, () => advance(5, 6));
  expect(counts.at(0)).toBe(0);
  expect(counts.at(-1)).toBe(1);
});
