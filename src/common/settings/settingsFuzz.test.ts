import fc from 'fast-check';
import { expect, test } from 'vitest';
import { tryParseSettings } from './index.js';

const SEED = 20261204;
const SECRET = 'q7Zk2VnXw9RtLb4Ye';
const MAXIMUM_FAULT_LENGTH = 20_000;

const VALID_SETTINGS = `host = "a1"
domain = "mekelle"
roles = ["entry", "control"]
data_folder = "data"
[mesh]
listen = "10.0.1.1:7400"
plain = true
[[control.members]]
host = "a1"
domain = "mekelle"
address = "10.0.1.1:7400"
[callers]
listen = "0.0.0.0:5432"
tls = { certificate = "a.pem", key = "a.key" }
[operators]
listen = "127.0.0.1:7480"
[fleet]
token_key = "${SECRET}"
`;

const FRAGMENTS = [
  '[',
  ']',
  '"',
  "'",
  '"""',
  '=',
  '\n',
  '.',
  '{',
  '}',
  ',',
  '#',
  '\\',
  '__proto__',
];

function expectReadOrFault(text: string): boolean {
  const checked = tryParseSettings('a1.toml', text);
  if (checked.isErr()) {
    const { message, step, peer } = checked.error;
    expect({ step, peer }).toEqual({ step: 'settings.check', peer: 'a1.toml' });
    expect(message).toMatch(/^Settings file a1\.toml is not valid: ./);
    expect(message.length).toBeLessThan(MAXIMUM_FAULT_LENGTH);
  }
  return checked.isOk();
}

test('a randomly modified settings text is either read or refused with a fault', () => {
  const change = fc.record({
    at: fc.nat({ max: VALID_SETTINGS.length }),
    removed: fc.nat({ max: 12 }),
    added: fc.oneof(
      fc.constantFrom(...FRAGMENTS),
      fc.string({ maxLength: 4 }),
      fc.string({ unit: 'binary', maxLength: 3 }),
    ),
  });
  const outcomes = new Set<boolean>();
  fc.assert(
    fc.property(fc.array(change, { minLength: 1, maxLength: 3 }), (changes) => {
      const text = changes.reduce(
        (changed, { at, removed, added }) =>
          changed.slice(0, at) + added + changed.slice(at + removed),
        VALID_SETTINGS,
      );
      outcomes.add(expectReadOrFault(text));
    }),
    { seed: SEED, numRuns: 4_000 },
  );
  expect(outcomes).toEqual(new Set([true, false]));
});

test('a random text is either read or refused with a fault', () => {
  const text = fc.oneof(
    fc.string({ unit: 'binary', maxLength: 200 }),
    fc
      .array(fc.constantFrom(...FRAGMENTS, 'host', 'mesh', '1'), { maxLength: 50 })
      .map((parts) => parts.join('')),
  );
  fc.assert(
    fc.property(text, (each) => {
      expectReadOrFault(each);
    }),
    { seed: SEED, numRuns: 4_000 },
  );
});

test('no fault message quotes a secret of the file', () => {
  const lines = VALID_SETTINGS.split('\n');
  const line = fc.nat({ max: lines.length - 1 });
  const added = fc.constantFrom('x = ', ']', '"', 'token_key = 1', 'host = 2', '[fleet]', '=');
  fc.assert(
    fc.property(line, added, (at, text) => {
      const changed = [...lines.slice(0, at), text, ...lines.slice(at)].join('\n');
      const checked = tryParseSettings('a1.toml', changed);
      expect(checked.isErr() ? checked.error.message : '').not.toContain(SECRET);
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test.each([
  ['deep arrays', `host = ${'['.repeat(200_000)}`],
  ['deep tables', `host = ${'{a='.repeat(100_000)}`],
  ['a deep key', `${'a.'.repeat(100_000)}a = 1`],
  ['many tables', '[[control.members]]\nhost = "a"\n'.repeat(20_000)],
  ['many unknown keys', Array.from({ length: 20_000 }, (_, index) => `k${index} = 1`).join('\n')],
  ['a long line', `host = "${'x'.repeat(900_000)}"`],
])('a text with %s is refused with a fault of bounded length', (_case, text) => {
  expect(expectReadOrFault(text)).toBe(false);
});
