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

// Guards against a host that drops its lease because its process was not run, or collected
// garbage, between the readings of the two clocks.
test.each(['monotonic', 'wall'])(
  'a pause of the process right after it reads the %s clock is no suspension',
  (pausedAfter) => {
    let elapsedMs = 0;
    let pauseMs = 0;
    const read = (clock: string) => () => {
      const readMs = elapsedMs;
      if (clock === pausedAfter) {
        elapsedMs += pauseMs;
        pauseMs = 0;
      }
      return readMs;
    };
    const detector = new SuspensionDetector(read('monotonic'), read('wall'));
    const counts = [5, 20, 0, 500, 0].map((duration) => {
      pauseMs = duration;
      elapsedMs += 5;
      return detector.count();
    });
    expect(counts).toEqual([0, 0, 0, 0, 0]);
    expect(detector.getTotalMs()).toBe(0);
  },
);

test('a suspension right between the readings of the clocks counts at the next reading', () => {
  const clocks = { monotonicMs: 0, wallMs: 0, suspendedMs: 0 };
  const detector = new SuspensionDetector(
    () => clocks.monotonicMs,
    () => {
      const readMs = clocks.wallMs;
      clocks.wallMs += clocks.suspendedMs;
      clocks.suspendedMs = 0;
      return readMs;
    },
  );
  clocks.suspendedMs = 40;
  expect([detector.count(), detector.count(), detector.count()]).toEqual([0, 1, 1]);
  expect(detector.getTotalMs()).toBe(40);
});

test('a process that is paused in each reading still counts a suspension', () => {
  const clocks = { monotonicMs: 0, wallMs: 0 };
  const pause = () => {
    clocks.monotonicMs += 20;
    clocks.wallMs += 20;
  };
  const detector = new SuspensionDetector(
    () => {
      const readMs = clocks.monotonicMs;
      pause();
      return readMs;
    },
    () => {
      const readMs = clocks.wallMs;
      pause();
      return readMs;
    },
  );
  detector.count();
  clocks.wallMs += 40;
  expect(detector.count()).toBeGreaterThan(0);
});
