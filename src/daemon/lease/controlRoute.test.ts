import { expect, test } from 'vitest';
import { ControlRoute } from './controlRoute.js';

const ADDRESSES = ['c1', 'c2', 'c3'];

test('the leader that a host names, itself or another, is used until it gives no answer', () => {
  const route = new ControlRoute(() => ADDRESSES);
  expect(route.choose(0)).toBe('c1');
  expect(route.redirected('c3')).toBe(true);
  expect(route.choose(10)).toBe('c3');
  expect(route.redirected('c3')).toBe(true);
  expect(route.choose(20)).toBe('c3');
  expect(route.choose(1000)).toBe('c2');
});

test('a host that knows no leader is kept for an election, then the next one is chosen', () => {
  const route = new ControlRoute(() => ADDRESSES);
  expect(route.search(0)).toBe('c1');
  expect(route.redirected(undefined)).toBe(false);
  expect(route.search(10)).toBe('c1');
  expect(route.search(500)).toBe('c1');
  expect(route.search(501)).toBe('c2');
  expect(route.redirected('c3')).toBe(true);
  expect(route.search(510)).toBe('c3');
  expect(route.redirected(undefined)).toBe(false);
  expect(route.search(520)).toBe('c2');
});

test('a search gives each further host that does not answer more time', () => {
  const route = new ControlRoute(() => ADDRESSES, 1);
  const chosen = [0, 100, 101, 301, 302, 702, 703, 1503, 1504].map((nowMs) => route.search(nowMs));
  expect(chosen).toEqual(['c2', 'c2', 'c3', 'c3', 'c1', 'c1', 'c2', 'c2', 'c3']);
});
