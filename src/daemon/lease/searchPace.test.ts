import { expect, test } from 'vitest';
import { SearchPace } from './searchPace.js';

const SEARCH_MS = 2000;
const TICK_MS = 50;

test('a host that does not answer is asked less and less, and never given up', () => {
  const pace = new SearchPace();
  const asked: number[] = [];
  for (let nowMs = 0; nowMs <= SEARCH_MS; nowMs += TICK_MS) {
    if (pace.mayAsk('slow', nowMs)) {
      pace.asked('slow', nowMs);
      asked.push(nowMs);
    }
  }
  expect(asked).toEqual([0, 100, 300, 700, 1100, 1500, 1900]);
});

test('a host that is said to lead is asked at once, unless its answer is still to come', () => {
  const pace = new SearchPace();
  pace.asked('c1', 0);
  pace.named('c1');
  expect(pace.mayAsk('c1', 10)).toBe(false);
  pace.closed('c1');
  expect(pace.mayAsk('c1', 10)).toBe(false);
  pace.named('c1');
  expect(pace.mayAsk('c1', 10)).toBe(true);
  pace.asked('c1', 10);
  pace.clear();
  expect(pace.mayAsk('c1', 20)).toBe(true);
});
