import { expect, test } from 'vitest';
import { formatHolderGaps, HolderChange, measureHolderGaps } from './holderGaps.js';

test('a moved holder costs a steady caller some round trips, a lost one little beyond its lease', () => {
  const gaps = measureHolderGaps();
  const moved = gaps.filter(({ change }) => change === HolderChange.Moved);
  const lost = gaps.filter(({ change }) => change === HolderChange.Lost);
  expect(gaps.every(({ unserved }) => unserved === 0)).toBe(true);
  expect(Math.max(...moved.map(({ longestMs }) => longestMs))).toBeLessThan(50);
  expect(Math.max(...lost.map(({ longestMs }) => longestMs))).toBeLessThan(1550);
  expect(formatHolderGaps(gaps)).toMatchSnapshot();
});
