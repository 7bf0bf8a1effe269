import { expect, test } from 'vitest';
import { RetryBudget } from './index.js';

test('retries are limited to a share of first attempts once the reserve is used up', () => {
  const budget = new RetryBudget(0.25, 2);
  const taken = [budget.tryTakeRetry(), budget.tryTakeRetry(), budget.tryTakeRetry()];
  expect(taken).toEqual([true, true, false]);
  let granted = 0;
  for (let attempt = 0; attempt < 40; attempt += 1) {
    budget.recordAttempt();
    granted += budget.tryTakeRetry() ? 1 : 0;
  }
  expect(granted).toBe(10);
});
