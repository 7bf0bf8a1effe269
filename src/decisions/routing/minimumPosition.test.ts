import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  toGroupId,
  toInstanceId,
  toLogPosition,
  toRevision,
  toTerm,
} from '../../common/ids/index.js';
import { PrimaryPhase, RecordKind, type GroupPrimary } from '../control/index.js';
import { getMinimumPosition } from './minimumPosition.js';
import { PositionHistory } from './positionHistory.js';

const primary: GroupPrimary = {
  kind: RecordKind.Primary,
  group: toGroupId('ledger'),
  term: toTerm(9),
  timeline: toTerm(4),
  instance: toInstanceId('i-1'),
  phase: PrimaryPhase.Serving,
  since: toRevision(1),
  history: [{ term: toTerm(3), position: toLogPosition(50) }],
};

function at(term: number, position: number) {
  return { term: toTerm(term), position: toLogPosition(position) };
}

const noRequirement = { session: undefined, maximumStalenessMs: undefined };

test('a latest read requires the position of the furthest acknowledged write', () => {
  const writes = { primary, acknowledged: at(4, 80), positions: new PositionHistory() };
  expect(getMinimumPosition({ ...noRequirement, latest: true }, writes, 0)).toEqual(at(4, 80));
});

test("a session's position of an earlier term is mapped to the start of the current timeline", () => {
  const writes = { primary, acknowledged: at(4, 80), positions: new PositionHistory() };
  expect(getMinimumPosition({ ...noRequirement, session: at(3, 49) }, writes, 0)).toEqual(
    at(4, 50),
  );
  expect(getMinimumPosition({ ...noRequirement, session: at(4, 70) }, writes, 0)).toEqual(
    at(4, 70),
  );
});

test('a bounded read requires every write older than its staleness bound, and those of its session', () => {
  const steps = fc.array(fc.record({ gapMs: fc.nat({ max: 40 }), writes: fc.nat({ max: 3 }) }), {
    minLength: 1,
    maxLength: 200,
  });
  fc.assert(
    fc.property(steps, fc.nat({ max: 1500 }), (all, maximumStalenessMs) => {
      const positions = new PositionHistory();
      const acknowledgedAt: { readonly timeMs: number; readonly position: number }[] = [];
      let nowMs = 0;
      let position = 60;
      for (const { gapMs, writes } of all) {
        nowMs += gapMs;
        position += writes;
        acknowledgedAt.push({ timeMs: nowMs, position });
        positions.record(toLogPosition(position), nowMs);
      }
      const acknowledged = at(4, position);
      const requirement = { session: undefined, maximumStalenessMs };
      const minimum = getMinimumPosition(requirement, { primary, acknowledged, positions }, nowMs);
      const old = acknowledgedAt.filter(({ timeMs }) => timeMs <= nowMs - maximumStalenessMs);
      expect(minimum?.position).toBeGreaterThanOrEqual(old.at(-1)?.position ?? 0);
      expect(minimum?.position).toBeLessThanOrEqual(position);
      const own = { session: acknowledged, maximumStalenessMs };
      expect(getMinimumPosition(own, { primary, acknowledged, positions }, nowMs)).toEqual(
        acknowledged,
      );
    }),
    { seed: 5, numRuns: 300 },
  );
});
