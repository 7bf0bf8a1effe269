import { expect, test } from 'vitest';
import { canKeepLog, FULL_DISK_GRACE_MS } from './memberFitness.js';

test('a host can keep the log only while its disk has been full for less than the limit', () => {
  const refusals = [undefined, 0, FULL_DISK_GRACE_MS - 1, FULL_DISK_GRACE_MS];
  expect(refusals.map(canKeepLog)).toEqual([true, true, true, false]);
});
