import fc from 'fast-check';
import { expect, test } from 'vitest';
import { LineSplitter } from '../../platform/lines/lineSplitter.js';
import { LINE_END, LINE_ENCODING, MAXIMUM_LINE_BYTES } from '../../platform/lines/lineWord.js';

const TOO_LONG = 'too long';

/** Splits chunks; a line that is too long is listed by a word of its own. */
function split(chunks: readonly Buffer[]): string[] {
  const found: string[] = [];
  const splitter = new LineSplitter({
    line: (text) => found.push(text),
    lineTooLong: () => found.push(TOO_LONG),
  });
  for (const chunk of chunks) {
    splitter.push(chunk);
  }
  return found;
}

// Guards against texts that are cut at a line feed, whatever segments they arrive in.
test('only CR LF ends a line, whether its bytes arrive together or apart', () => {
  const texts = fc
    .string({ unit: fc.constantFrom('a', ' ', '\n', '\r', '\0', '\t', '\x85', '\xff') })
    .filter((text) => !text.includes(LINE_END));
  const cuts = fc.array(fc.nat({ max: 40 }), { maxLength: 12 });
  fc.assert(
    fc.property(fc.array(texts, { minLength: 1, maxLength: 6 }), cuts, (lines, lengths) => {
      let rest = Buffer.from(lines.map((line) => line + LINE_END).join(''), LINE_ENCODING);
      const chunks: Buffer[] = [];
      for (const length of lengths) {
        chunks.push(rest.subarray(0, length));
        rest = rest.subarray(length);
      }
      expect(split([...chunks, rest])).toEqual(lines);
    }),
    { seed: 20261206, numRuns: 2000 },
  );
});

test('a line may be as long as the protocol allows, and no longer', () => {
  const longest = 'a'.repeat(MAXIMUM_LINE_BYTES - LINE_END.length);
  expect(split([Buffer.from(longest + LINE_END)])).toEqual([longest]);
  expect(split([Buffer.from(longest), Buffer.from('\r'), Buffer.from('\n')])).toEqual([longest]);
  expect(split([Buffer.from(`${longest}b${LINE_END}`)])).toEqual([TOO_LONG]);
  const feeds = '\n'.repeat(MAXIMUM_LINE_BYTES);
  expect(split([Buffer.from(feeds)])).toEqual([TOO_LONG]);
});
