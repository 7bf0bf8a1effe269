import { expect, test } from 'vitest';
import { Diagnostics } from './index.js';

test('no two diagnostics have the same number', () => {
  const codes = Object.values(Diagnostics).map(({ code }) => code);
  expect(codes.filter((code, index) => codes.indexOf(code) !== index)).toEqual([]);
});
