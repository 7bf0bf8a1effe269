import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import { toLogPosition, toRevision } from '../../common/ids/index.js';
import { LogCoverage } from './logCoverage.js';

const at = toLogPosition;

test('a lost log is covered once a replica has what the primary had after the loss', () => {
  const coverage = new LogCoverage();
  coverage.verify(toRevision(7), toRevision(9), 100);
  coverage.recordReplica(at(80), 110);
  coverage.recordPrimary(at(80), 90);
  coverage.recordReplica(at(80), 110);
  expect(coverage.revision).toBe(0);
  coverage.recordPrimary(at(81), 120);
  coverage.recordReplica(at(80), 130);
  coverage.recordReplica(at(90), 95);
  expect(coverage.revision).toBe(0);
  coverage.recordReplica(at(81), 140);
  expect(coverage.revision).toBe(9);
});

test('a further loss or another timeline begins the verification again', () => {
  const coverage = new LogCoverage();
  coverage.verify(toRevision(7), toRevision(9), 100);
  coverage.recordPrimary(at(80), 110);
  coverage.verify(toRevision(10), toRevision(10), 120);
  coverage.recordReplica(at(90), 130);
  expect(coverage.revision).toBe(0);
  coverage.recordPrimary(at(85), 125);
  coverage.reset();
  coverage.recordReplica(at(90), 130);
  expect(coverage.revision).toBe(0);
});

/** A primary's log, a replica that follows it and one that leaves with a log of its own. */
test('what is reported as covered is on the remaining replica, whatever is observed when', () => {
  const step = fc.record({
    action: fc.constantFrom('write', 'copy', 'observe primary', 'observe replica', 'leave'),
    lateMs: fc.nat(3),
  });
  const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const coverage = new LogCoverage();
    const log = { primary: 0, replica: 0 };
    const history: { primary: number; replica: number }[] = [];
    let received: number | undefined;
    for (const [index, { action, lateMs }] of steps.entries()) {
      history.push({ ...log });
      const sentMs = Math.max(0, index - lateMs);
      const seen = history[sentMs] ?? log;
      if (action === 'write') {
        log.primary += 1;
      } else if (action === 'copy') {
        log.replica = log.primary;
      } else if (action === 'observe primary') {
        coverage.recordPrimary(at(seen.primary), sentMs);
      } else if (action === 'observe replica') {
        coverage.recordReplica(at(seen.replica), sentMs);
      } else if (received === undefined) {
        received = log.primary;
        coverage.verify(toRevision(1), toRevision(1), index);
      }
      if (coverage.revision > 0) {
        expect(log.replica).toBeGreaterThanOrEqual(received ?? 0);
      }
    }
  });
  fc.assert(property, { seed: 20261205, numRuns: 3000 });
});
