import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { toLogPosition, toTerm } from '../../src/common/ids/index.js';
import { InstanceLog } from './instanceLog.js';

function createLog(...terms: readonly (readonly [term: number, records: number])[]): InstanceLog {
  const log = new InstanceLog();
  for (const [term, records] of terms) {
    log.beginTerm(toTerm(term));
    for (let index = 0; index < records; index += 1) {
      log.commit([{ kind: 'drop', table: 't' }], 0);
    }
  }
  return log;
}

function copy(log: InstanceLog, records: number): InstanceLog {
  const replica = new InstanceLog();
  replica.adopt(log.history);
  log.records.slice(0, records).forEach((record) => replica.append(record));
  return replica;
}

const RECORD_BYTES = 64;

describe('InstanceLog', () => {
  it('has the term that its end has reached', () => {
    const primary = createLog([1, 3], [2, 2]);
    expect(copy(primary, 2).term).toBe(1);
    expect(copy(primary, 3).term).toBe(2);
    expect(copy(primary, 2).highestTerm).toBe(2);
  });

  it('forgets terms that it never reached when it begins one', () => {
    const replica = copy(createLog([1, 3], [2, 2]), 2);
    replica.beginTerm(toTerm(5));
    expect(replica.history).toEqual([
      { term: 1, position: 0 },
      { term: 5, position: 2 * RECORD_BYTES },
    ]);
  });

  it.each([
    ['a prefix', createLog([1, 2]), createLog([1, 5], [2, 1]), 2],
    ['a longer end of the old term', createLog([1, 5]), createLog([1, 3], [2, 1]), 3],
    ['another term begun earlier', createLog([1, 2], [2, 9]), createLog([1, 4], [3, 1]), 2],
    ['another term begun later', createLog([1, 4], [2, 9]), createLog([1, 2], [3, 1]), 2],
    ['an empty log', createLog(), createLog([1, 2]), 0],
    ['nothing in common', createLog([1, 2]), createLog([3, 2]), 0],
  ])('agrees with another history up to where they part: %s', (_what, own, other, records) => {
    expect(own.findCommonEnd(other.history)).toBe(records * RECORD_BYTES);
  });

  it('becomes a true prefix when it follows a history that parted from its own', () => {
    const lengths = fc.nat({ max: 6 });
    fc.assert(
      fc.property(lengths, lengths, lengths, lengths, (shared, copied, own, other) => {
        const base = createLog([1, shared]);
        const old = copy(base, Math.min(copied, shared));
        old.beginTerm(toTerm(2));
        Array.from({ length: own }, () => old.commit([{ kind: 'drop', table: 'own' }], 0));
        base.beginTerm(toTerm(3));
        Array.from({ length: other }, () => base.commit([{ kind: 'drop', table: 'other' }], 0));
        old.truncate(old.findCommonEnd(base.history));
        old.adopt(base.history);
        expect(old.records).toEqual(base.records.slice(0, old.records.length));
        expect(old.records).toHaveLength(Math.min(copied, shared));
      }),
      { seed: 4 },
    );
  });

  it('finds the records after a position', () => {
    const log = createLog([1, 4]);
    const indexes = [0, 1, 64, 128, 255, 256].map((p) => log.findFirstAfter(toLogPosition(p)));
    expect(indexes).toEqual([0, 0, 1, 2, 3, 4]);
  });
});
