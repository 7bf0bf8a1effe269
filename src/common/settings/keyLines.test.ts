import fc from 'fast-check';
import { expect, test } from 'vitest';
import { KeyLines } from './keyLines.js';

const SEED = 20261204;

test('finds keys in tables and arrays of tables, and dotted and quoted keys', () => {
  const lines = new KeyLines(
    [
      'host = "a1"',
      'mesh.listen = "x"',
      '[control]',
      'text = """',
      'fake = 1',
      '"""',
      '  [[control.members]] # first',
      '  host = "a"',
      '  [[ control . members ]]',
      '  "host" = "b"',
      '  [control.members.tls]',
      '  key = "k"',
      "[ 'fleet' ]",
      'token_key = "a = b"',
    ].join('\n'),
  );
  const found = [
    'host',
    'mesh.listen',
    'control',
    'control.fake',
    'control.members.0.host',
    'control.members.1',
    'control.members.1.host',
    'control.members.1.tls.key',
    'control.members.1.tls.certificate',
    'fleet.token_key',
    'nothing',
  ].map((key) => [key, lines.get(key)]);
  expect(Object.fromEntries(found)).toMatchInlineSnapshot(`
    {
      "control": 3,
      "control.fake": 3,
      "control.members.0.host": 8,
      "control.members.1": 9,
      "control.members.1.host": 10,
      "control.members.1.tls.certificate": 11,
      "control.members.1.tls.key": 12,
      "fleet.token_key": 14,
      "host": 1,
      "mesh.listen": 2,
      "nothing": undefined,
    }
  `);
});

test('random text is read without errors', () => {
  const piece = fc.oneof(
    fc.constantFrom('[', ']', '[[a]]', '[a.b]', '=', '"', '"""', "'''", '.', '\n', 'a', '#', ' '),
    fc.string({ unit: 'binary', maxLength: 5 }),
  );
  fc.assert(
    fc.property(fc.array(piece, { maxLength: 60 }), fc.string(), (pieces, key) => {
      const text = pieces.join('');
      const line = new KeyLines(text).get(key);
      expect(line ?? 1).toBeLessThanOrEqual(text.split('\n').length);
    }),
    { seed: SEED, numRuns: 3_000 },
  );
});
