import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  faultSchedule,
  runSchedule,
  runUnderLoad,
} from '../../../tests/support/consensus/faultAction.js';
import { Simulation } from '../../../tests/support/consensus/simulation.js';
import { poorNetwork } from '../../../tests/support/consensus/simulatedNetwork.js';
import { Role } from './index.js';

const SEED = 20261204;
const HEALING_MS = 6_000;

/**
 * Expects that after healing there is one leader, and that every host has applied every committed
 * entry.
 */
function expectRecovered(simulation: Simulation): void {
  simulation.heal();
  simulation.run(HEALING_MS);
  const readsBefore = simulation.checker.answeredReads;
  const completedBefore = simulation.checker.completedIndex;
  runUnderLoad(simulation, 200);
  simulation.run(400);
  const { hosts, checker } = simulation;
  expect(hosts.filter((host) => host.member?.role === Role.Leader)).toHaveLength(1);
  expect(checker.answeredReads).toBeGreaterThan(readsBefore);
  expect(checker.completedIndex).toBeGreaterThan(completedBefore);
  expect(simulation.isMembershipSettled).toBe(true);
  expect(hosts.map((host) => host.appliedIndex)).toEqual(hosts.map(() => checker.committedIndex));
}

test.each([3, 5])(
  '%i members stay consistent under faults and recover after healing',
  (hostCount) => {
    const property = fc.property(fc.integer(), faultSchedule, (seed, schedule) => {
      const simulation = new Simulation({
        seed,
        hostCount,
        quality: poorNetwork,
        settings: { snapshotEntries: 40, trailingEntries: 10, maximumBatchEntries: 8 },
      });
      runSchedule(simulation, schedule);
      expectRecovered(simulation);
    });
    fc.assert(property, { seed: SEED, numRuns: 60 });
  },
);
