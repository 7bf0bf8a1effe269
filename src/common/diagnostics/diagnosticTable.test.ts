import { expect, test } from 'vitest';
import { Diagnostics } from './index.js';

test('each diagnostic has a number of its own', () => {
  const codes = Object.values(Diagnostics).map(({ code }) => code);
  expect(codes.filter((code, index) => codes.indexOf(code) !== index)).toEqual([]);
});
