import fc from 'fast-check';
import { expect, test } from 'vitest';
import { tryParseJson } from './index.js';

const SEED = 20_261_205;
const WIDE = { maximumDepth: 100, maximumValues: 10_000 };

function getDepth(value: unknown): number {
  if (typeof value !== 'object' || value === null) {
    return 0;
  }
  return 1 + Math.max(0, ...Object.values(value).map(getDepth));
}

test('a text within the limits is parsed as JSON.parse parses it', () => {
  fc.assert(
    fc.property(fc.json({ stringUnit: 'binary' }), (text) => {
      expect(tryParseJson(text, WIDE)._unsafeUnwrap()).toEqual(JSON.parse(text));
    }),
    { seed: SEED, numRuns: 1000 },
  );
});

test('a text is refused exactly when it is nested too deeply, whatever its strings contain', () => {
  const bracket = fc.string({ unit: fc.constantFrom('[', ']', '{', '}', '"', '\\', ',', 'a') });
  const nested = fc.letrec((tie) => ({
    value: fc.oneof(
      { maxDepth: 6 },
      bracket,
      fc.array(tie('value'), { maxLength: 2 }),
      fc.dictionary(bracket, tie('value'), { maxKeys: 2 }),
    ),
  })).value;
  fc.assert(
    fc.property(nested, fc.nat({ max: 6 }), (value, maximumDepth) => {
      const limits = { ...WIDE, maximumDepth };
      expect(tryParseJson(JSON.stringify(value), limits).isOk()).toBe(
        getDepth(value) <= maximumDepth,
      );
    }),
    { seed: SEED, numRuns: 1000 },
  );
});

test.each([
  ['deep arrays', '['.repeat(4_000_000), 'nested deeper than 100'],
  ['deep objects', '{"a":'.repeat(1_000_000), 'nested deeper than 100'],
  ['many values', `[${'{},'.repeat(1_000_000)}1]`, 'more than 10000 values'],
  ['many names', `{${'"a":1,'.repeat(1_000_000)}"a":1}`, 'more than 10000 values'],
])('a text of %s is refused before its values are allocated', (_case, text, problem) => {
  expect(tryParseJson(text, WIDE)._unsafeUnwrapErr()).toBe(problem);
});

test('a truncated text is refused', () => {
  for (const text of ['', '"', '"\\', '{"a', '[1', 'nul']) {
    expect(tryParseJson(text, WIDE).isErr()).toBe(true);
  }
});
