import { Role } from '../../../src/decisions/consensus/index.js';
import { Simulation } from './simulation.js';
import { poorNetwork, soundNetwork, type NetworkQuality } from './simulatedNetwork.js';

/** How the leader is lost. */
export enum LeaderLoss {
  Crash = 'crash',
  Isolation = 'isolation',
  Pause = 'pause',
}

/** One kind of loss, to be measured over many seeds. */
export interface ElectionCase {
  readonly hostCount: number;
  readonly loss: LeaderLoss;
  readonly quality: NetworkQuality;
  /** Hosts that crash together with the leader. */
  readonly alsoLost: number;
  readonly name: string;
}

/** The cases that the choice of a lease length rests on. */
export const electionCases: readonly ElectionCase[] = [
  createCase('3 hosts, crash', 3, LeaderLoss.Crash),
  createCase('3 hosts, isolation', 3, LeaderLoss.Isolation),
  createCase('3 hosts, pause', 3, LeaderLoss.Pause),
  createCase('5 hosts, crash', 5, LeaderLoss.Crash),
  { ...createCase('5 hosts, crash of two', 5, LeaderLoss.Crash), alsoLost: 1 },
  { ...createCase('3 hosts, crash, poor network', 3, LeaderLoss.Crash), quality: poorNetwork },
  { ...createCase('5 hosts, crash, poor network', 5, LeaderLoss.Crash), quality: poorNetwork },
];

const MAXIMUM_MS = 30_000;

/** Simulated time from the loss of the leader until another has committed in its own term. */
export function measureElection(electionCase: ElectionCase, seed: number): number {
  const { hostCount, quality } = electionCase;
  const simulation = new Simulation({ seed, hostCount, quality });
  simulation.run(3_000 + simulation.random.nextBelow(1_000));
  while (!isServing(simulation)) {
    simulation.run(1);
  }
  const { leader } = simulation;
  if (leader === undefined) {
    throw new Error('no leader before the loss');
  }
  loseLeader(simulation, electionCase);
  const lostMs = simulation.events.nowMs;
  while (simulation.leader === leader || !isServing(simulation)) {
    simulation.run(1);
    if (simulation.events.nowMs - lostMs > MAXIMUM_MS) {
      throw new Error(`no leader within ${MAXIMUM_MS} ms with seed ${seed}`);
    }
  }
  return simulation.events.nowMs - lostMs;
}

/** The value below which that share of the measured ones lies. */
export function getQuantile(values: readonly number[], share: number): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN;
}

function createCase(name: string, hostCount: number, loss: LeaderLoss): ElectionCase {
  return { name, hostCount, loss, quality: soundNetwork, alsoLost: 0 };
}

function isServing(simulation: Simulation): boolean {
  const term = simulation.leader?.member?.term;
  return term !== undefined && simulation.checker.committedTerm === term;
}

function loseLeader(simulation: Simulation, electionCase: ElectionCase): void {
  const { leader, hosts } = simulation;
  if (leader === undefined) {
    return;
  }
  const others = hosts.filter((host) => host.member?.role !== Role.Leader);
  others.slice(0, electionCase.alsoLost).forEach((host) => simulation.crash(host));
  switch (electionCase.loss) {
    case LeaderLoss.Crash:
      simulation.crash(leader);
      break;
    case LeaderLoss.Isolation:
      simulation.network.isolate(leader.number, hosts.length);
      break;
    case LeaderLoss.Pause:
      simulation.pause(leader);
      break;
  }
}
