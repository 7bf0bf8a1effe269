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

test('the next host is chosen after a host that knows no leader', () => {
  const route = new ControlRoute(() => ADDRESSES);
  expect(route.choose(0)).toBe('c1');
  expect(route.redirected(undefined)).toBe(false);
  expect(route.choose(10)).toBe('c2');
});
