import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import { toFailureDomain, toTicketNumber } from '../../../common/ids/index.js';
import { SubjectKind } from '../../tickets/index.js';
import { DEFAULT_FLEET_OPTIONS, FakeFleet } from '../../../../tests/support/fleet/index.js';

const SEED = 20261204;
const DOMAINS = ['d0', 'd1', 'd2'];
const IN_FORCE_MS = 3000;

interface Change {
  readonly domain: string;
  readonly inService: boolean;
  /** Time until the next change, which may come before this one is complete. */
  readonly restMs: number;
}

const changes = fc.array(
  fc.record({
    domain: fc.constantFrom(...DOMAINS),
    inService: fc.boolean(),
    restMs: fc.constantFrom(50, 200, 600, IN_FORCE_MS),
  }),
  { minLength: 1, maxLength: 10 },
);

function run(seed: number, sequence: readonly Change[]): void {
  const fleet = new FakeFleet({ ...DEFAULT_FLEET_OPTIONS, seed, groups: 4 });
  fleet.run(2000);
  const out = new Set<string>();
  for (const [index, { domain, inService, restMs }] of sequence.entries()) {
    if (!inService && out.size === DOMAINS.length - 1) {
      continue;
    }
    out[inService ? 'delete' : 'add'](domain);
    const kind = SubjectKind.FailureDomain;
    const state = { kind, domain: toFailureDomain(domain), inService } as const;
    fleet.submit({ number: toTicketNumber(index + 1), subjects: [state] });
    fleet.run(restMs);
    if (restMs === IN_FORCE_MS) {
      expectMoved(fleet, out);
    }
  }
  fleet.run(IN_FORCE_MS);
  expectMoved(fleet, out);
}

function expectMoved(fleet: FakeFleet, out: ReadonlySet<string>): void {
  for (const group of fleet.groups) {
    expect(out).not.toContain(fleet.getPrimary(group).domain);
    expect(out).not.toContain(fleet.getHolder(group).domain);
    expect(fleet.runUntilWrite(group, 1000)).toBeLessThan(200);
  }
}

test('failure domains out of service keep no primary and no holder, even if changes overlap', () => {
  const property = fc.property(fc.nat(), changes, run);
  fc.assert(property, { seed: SEED, numRuns: 40 });
});
