import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { toLogPosition } from './ids/index.js';
import { formatLogPosition, tryParseLogPosition } from './logPosition.js';

describe('log position', () => {
  it('is formatted as PostgreSQL formats it', () => {
    expect(formatLogPosition(toLogPosition(0))).toBe('0/0');
    expect(formatLogPosition(toLogPosition(0x1_0000_1a2b))).toBe('1/1A2B');
  });

  it('is unchanged by formatting and parsing', () => {
    fc.assert(
      fc.property(fc.maxSafeNat(), (value) => {
        const position = toLogPosition(value);
        expect(tryParseLogPosition(formatLogPosition(position))._unsafeUnwrap()).toBe(position);
      }),
      { seed: 1 },
    );
  });

  it.each(['', '0', '0/', '/0', 'x/1', '0/123456789', 'FFFFFFFF/0'])('refuses %j', (text) => {
    expect(tryParseLogPosition(text)._unsafeUnwrapErr().diagnostic.sqlState).toBe('22P02');
  });
});
