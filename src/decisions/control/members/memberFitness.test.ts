import { expect, test } from 'vitest';
import { canKeepLog, FULL_DISK_MEMBER_MS } from './memberFitness.js';

test('a disk full for a short time keeps its place in the quorum, one that stays full loses it', () => {
  const refusals = [undefined, 0, FULL_DISK_MEMBER_MS - 1, FULL_DISK_MEMBER_MS];
  expect(refusals.map(canKeepLog)).toEqual([true, true, true, false]);
});
