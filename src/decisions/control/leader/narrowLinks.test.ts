import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import { PrimaryPhase } from '../index.js';
import {
  DEFAULT_FLEET_OPTIONS,
  FakeFleet,
  FaultDriver,
  fleetFaults,
  NARROW_BYTES_PER_SECOND,
} from '../../../../tests/support/fleet/index.js';

const RUNS = Number(process.env.FLEET_RUNS ?? 30);
const SEED = Number(process.env.FLEET_SEED ?? 20261205);
const OPTIONS = { ...DEFAULT_FLEET_OPTIONS, linkBytesPerSecond: NARROW_BYTES_PER_SECOND };

/** Checks that each replica is read by a host that holds no group. */
function checkReaders(fleet: FakeFleet): void {
  const { truth } = fleet.control;
  const holders = fleet.groups.map((group) => fleet.getHolder(group).host);
  for (const group of fleet.groups) {
    for (const { instance } of truth.getInstances(group)) {
      const reader = truth.getReader(group, instance)?.holder;
      if (instance !== truth.getPrimary(group)?.instance) {
        expect(reader, `reader of ${instance}`).toBeDefined();
        expect(holders).not.toContain(reader?.host);
      }
    }
  }
}

test('a fleet with narrow links is assigned readers, and its status names them', () => {
  const fleet = new FakeFleet(OPTIONS);
  fleet.run(5000);
  checkReaders(fleet);
  const status = fleet.control.leader?.getStatus(fleet.nowMs);
  const readers = status?.groups.flatMap(({ instances }) => instances.map(({ reader }) => reader));
  expect(readers?.filter((reader) => reader !== undefined)).toHaveLength(4);
});

test('a fleet without narrow links is assigned no readers', () => {
  for (const link of [{}, { linkBytesPerSecond: 125_000_000 }]) {
    const fleet = new FakeFleet({ ...DEFAULT_FLEET_OPTIONS, ...link });
    fleet.run(5000);
    expect(fleet.groups.flatMap((group) => fleet.control.truth.getReaders(group))).toEqual([]);
  }
});

test('with narrow links no fault violates an invariant, and service and readers resume', () => {
  const property = fc.property(fc.nat(), fleetFaults, (seed, faults) => {
    const fleet = new FakeFleet({ ...OPTIONS, seed });
    fleet.run(2000);
    const driver = new FaultDriver(fleet);
    driver.run(faults);
    driver.restoreService();
    fleet.run(15_000);
    for (const group of fleet.groups) {
      expect(fleet.control.truth.getPrimary(group)?.phase).toBe(PrimaryPhase.Serving);
      expect(fleet.runUntilWrite(group, 1000)).toBeLessThan(1000);
    }
    checkReaders(fleet);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});
