import { expect, test } from 'vitest';
import { Withdrawal } from './index.js';

const LIMITS = { domainMs: 3000, instanceMs: 4200 };
const SERVING = { outOfServiceMs: 0, isLeaving: false };

test('an instance in service is never withdrawn', () => {
  const withdrawal = new Withdrawal(LIMITS);
  expect([0, 10_000, 100_000].map((nowMs) => withdrawal.isOver(SERVING, nowMs))).toEqual([
    false,
    false,
    false,
  ]);
});

test('an instance is withdrawn once its failure domain was out of service for long enough', () => {
  const withdrawal = new Withdrawal(LIMITS);
  const isOver = (outOfServiceMs: number) => withdrawal.isOver({ ...SERVING, outOfServiceMs }, 0);
  expect([2999, 3000, Infinity].map(isOver)).toEqual([false, true, true]);
  expect(isOver(0)).toBe(false);
});

test('an instance is withdrawn once it has been leaving for long enough, without a pause', () => {
  const withdrawal = new Withdrawal(LIMITS);
  const isOver = (isLeaving: boolean, nowMs: number) =>
    withdrawal.isOver({ ...SERVING, isLeaving }, nowMs);
  expect([isOver(true, 100), isOver(true, 4299), isOver(true, 4300)]).toEqual([false, false, true]);
  expect([isOver(false, 4400), isOver(true, 4500), isOver(true, 8699)]).toEqual([
    false,
    false,
    false,
  ]);
  expect(isOver(true, 8700)).toBe(true);
});
