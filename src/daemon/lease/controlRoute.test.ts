import { expect, test } from 'vitest';
import { ControlRoute } from './controlRoute.js';

const ADDRESSES = ['c1', 'c2', 'c3'];

test('a host that names a leader, also itself, is believed until that one gives no answer', () => {
  const route = new ControlRoute(() => ADDRESSES);
  expect(route.choose(0)).toBe('c1');
  expect(route.redirected('c3')).toBe(true);
  expect(route.choose(10)).toBe('c3');
  expect(route.redirected('c3')).toBe(true);
  expect(route.choose(20)).toBe('c3');
  expect(route.choose(1000)).toBe('c2');
});

test('a host that knows no leader sends to the next one', () => {
  const route = new ControlRoute(() => ADDRESSES);
  expect(route.choose(0)).toBe('c1');
  expect(route.redirected(undefined)).toBe(false);
  expect(route.choose(10)).toBe('c2');
});
