import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toLogPosition, toTerm } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';
import { getCertainPosition } from './guaranteedPosition.js';

const SEED = 20261204;
const TERM = toTerm(3);

/** What a write that is under way has: what was seen before it, and its position once it is written. */
interface Write {
  readonly before: SessionPosition;
  own: number | undefined;
}

/** One step: a write is sent, written to the log, answered or its answer lost. */
const steps = fc.array(fc.record({ kind: fc.nat(3), pick: fc.nat(9) }), { maxLength: 80 });

function at(position: number): SessionPosition {
  return { term: TERM, position: toLogPosition(position) };
}

test('no position is certain that no acknowledged write has, however answers overlap or are lost', () => {
  fc.assert(
    fc.property(steps, (plan) => {
      const writes: Write[] = [];
      let log = 10;
      let seen = log;
      let acknowledged = 0;
      let certain = 0;
      for (const { kind, pick } of plan) {
        const write = writes[pick % (writes.length || 1)];
        if (kind === 0 || write === undefined) {
          writes.push({ before: at(seen), own: undefined });
        } else if (write.own === undefined) {
          write.own = log += 1;
        } else {
          writes.splice(writes.indexOf(write), 1);
          if (kind !== 1) {
            acknowledged = Math.max(acknowledged, write.own);
            certain = Math.max(certain, getCertainPosition(write.before, at(log)) ?? 0);
            seen = log;
          }
        }
        expect(certain).toBeLessThanOrEqual(acknowledged);
      }
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test('a write that nothing overlaps is certain at its own position, one of another term is not', () => {
  expect(getCertainPosition(at(79), at(80))).toBe(80);
  expect(getCertainPosition(undefined, at(80))).toBeUndefined();
  expect(getCertainPosition({ ...at(79), term: toTerm(2) }, at(80))).toBeUndefined();
});
