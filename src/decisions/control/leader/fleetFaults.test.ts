import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import { PrimaryPhase } from '../index.js';
import {
  DEFAULT_FLEET_OPTIONS,
  FakeFleet,
  FaultDriver,
  fleetFaults,
  type FleetFault,
  type FleetOptions,
} from '../../../../tests/support/fleet/index.js';

const RUNS = Number(process.env.FLEET_RUNS ?? 60);
const SEED = Number(process.env.FLEET_SEED ?? 20261204);

function runFaults(options: FleetOptions, faults: readonly FleetFault[]): FakeFleet {
  const fleet = new FakeFleet(options);
  fleet.run(2000);
  const driver = new FaultDriver(fleet);
  driver.run(faults);
  driver.restoreService();
  fleet.run(15_000);
  return fleet;
}

function checkService(fleet: FakeFleet): void {
  for (const group of fleet.groups) {
    expect(fleet.control.truth.getPrimary(group)?.phase).toBe(PrimaryPhase.Serving);
    expect(fleet.runUntilWrite(group, 1000)).toBeLessThan(1000);
  }
}

test('no fault violates an invariant, and service resumes', () => {
  const property = fc.property(fc.nat(), fleetFaults, (seed, faults) => {
    checkService(runFaults({ ...DEFAULT_FLEET_OPTIONS, seed }, faults));
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});

test('no invariant is violated over a network that loses, duplicates and delays messages', () => {
  const network = { loss: 0.05, duplication: 0.05, lateness: 0.02 };
  const property = fc.property(fc.nat(), fleetFaults, (seed, faults) => {
    runFaults({ ...DEFAULT_FLEET_OPTIONS, seed, network }, faults);
  });
  fc.assert(property, { seed: SEED, numRuns: RUNS });
});
