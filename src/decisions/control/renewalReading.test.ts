import fc from 'fast-check';
import { expect, test } from 'vitest';
import { InstanceRole, type LeaseRenewal } from './index.js';
import { dropOddEntries } from './renewalReading.js';

const SEED = 20_261_205;
const ANNOUNCEMENT = {
  ...{ group: 'g', instance: 'i-1', domain: 'north', address: '10.0.0.1:5432', platform: '' },
  ...{ role: InstanceRole.Replica, term: 0, position: 0, slots: 5, connectionLimit: 54 },
  ...{ leaving: false, startedMs: 1_700_000_000_000, sequence: 4 },
};
const MEMBER = { member: 'c-1', host: 'c-1', domain: 'north', address: '10.0.0.2:7400' };

function createRenewal(fields: object): LeaseRenewal {
  const renewal = { announcements: [{ announcement: ANNOUNCEMENT, ageMs: 3.5 }], member: MEMBER };
  return { ...renewal, ...fields } as unknown as LeaseRenewal;
}

test('a renewal without odd entries stays as it is', () => {
  const renewal = createRenewal({ departures: [{ instance: 'i-2' }] });
  expect(dropOddEntries(renewal)).toEqual(renewal);
});

test('an odd entry that a host passes on is dropped, and the others with it are taken', () => {
  const odd = fc.oneof(
    fc.jsonValue(),
    fc.record({ announcement: fc.jsonValue(), ageMs: fc.double() }),
    fc.record({
      announcement: fc
        .dictionary(
          fc.constantFrom(...Object.keys(ANNOUNCEMENT)),
          fc.constantFrom(1e308, {}, null),
          {
            minKeys: 1,
          },
        )
        .map((fields) => ({ ...ANNOUNCEMENT, ...fields })),
      ageMs: fc.constant(1),
    }),
    fc.constantFrom(NaN, Infinity, -1).map((ageMs) => ({ announcement: ANNOUNCEMENT, ageMs })),
  );
  fc.assert(
    fc.property(fc.array(odd, { maxLength: 4 }), (entries) => {
      const right = { announcement: ANNOUNCEMENT, ageMs: 3.5 };
      const { announcements } = dropOddEntries(
        createRenewal({ announcements: [...entries, right] }),
      );
      expect(announcements).toEqual([right]);
    }),
    { seed: SEED, numRuns: 1000 },
  );
});

test('a host that names itself oddly is no member, and departures of what is no name are dropped', () => {
  for (const fields of [{ address: '10.0.0.2:99999' }, { address: 'x' }, { member: '' }]) {
    const gone = [{ instance: 'i-2', startedMs: 7 }, { instance: 'i-3' }];
    const departures = [...gone, { instance: '' }, { instance: 'i-4', startedMs: 1e308 }, 5];
    const read = dropOddEntries(createRenewal({ member: { ...MEMBER, ...fields }, departures }));
    expect([read.member, read.departures]).toEqual([undefined, gone]);
  }
});
