import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toLogPosition, toTerm } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';
import { getGuaranteedPosition } from './guaranteedPosition.js';

const SEED = 20261204;
const TERM = toTerm(3);

/**
 * A write in flight: the position observed before it, and its own position once it is in the log.
 */
interface Write {
  readonly before: SessionPosition;
  own: number | undefined;
}

/** Each step sends a write, appends it to the log, delivers its answer or loses the answer. */
const steps = fc.array(fc.record({ kind: fc.nat(3), pick: fc.nat(9) }), { maxLength: 80 });

function at(position: number): SessionPosition {
  return { term: TERM, position: toLogPosition(position) };
}

test('the guaranteed position never exceeds the acknowledged writes if answers overlap or are lost', () => {
  fc.assert(
    fc.property(steps, (plan) => {
      const writes: Write[] = [];
      let log = 10;
      let observed = log;
      let acknowledged = 0;
      let guaranteed = 0;
      for (const { kind, pick } of plan) {
        const write = writes[pick % (writes.length || 1)];
        if (kind === 0 || write === undefined) {
          writes.push({ before: at(observed), own: undefined });
        } else if (write.own === undefined) {
          write.own = log += 1;
        } else {
          writes.splice(writes.indexOf(write), 1);
          if (kind !== 1) {
            acknowledged = Math.max(acknowledged, write.own);
            guaranteed = Math.max(guaranteed, getGuaranteedPosition(write.before, at(log)) ?? 0);
            observed = log;
          }
        }
        expect(guaranteed).toBeLessThanOrEqual(acknowledged);
      }
    }),
    { seed: SEED, numRuns: 500 },
  );
});

test('the guaranteed position of a write without overlap is its own; across terms it is undefined', () => {
  expect(getGuaranteedPosition(at(79), at(80))).toBe(80);
  expect(getGuaranteedPosition(undefined, at(80))).toBeUndefined();
  expect(getGuaranteedPosition({ ...at(79), term: toTerm(2) }, at(80))).toBeUndefined();
});
