import { expect, test } from 'vitest';
import { runUnderLoad } from '../../../tests/support/consensus/faultAction.js';
import type { SimulatedHost } from '../../../tests/support/consensus/simulatedHost.js';
import { Simulation } from '../../../tests/support/consensus/simulation.js';
import { toRequestId } from '../../common/ids/index.js';
import {
  ConsensusRules,
  InputKind,
  MembershipChangeKind,
  Role,
  type MembershipChange,
} from './index.js';

const SEEDS = Array.from({ length: 20 }, (_, seed) => seed);
const SETTLING_MS = 1_500;

function createRunningSimulation(
  seed: number,
  hostCount = 3,
  rules = new ConsensusRules(),
): Simulation {
  const settings = { snapshotEntries: 40, trailingEntries: 10 };
  const simulation = new Simulation({ seed, hostCount, settings, rules });
  runUnderLoad(simulation, SETTLING_MS);
  return simulation;
}

function getLeader(simulation: Simulation): SimulatedHost {
  const { leader } = simulation;
  if (leader === undefined) {
    throw new Error('no leader');
  }
  return leader;
}

function getFollower(simulation: Simulation): SimulatedHost {
  const follower = simulation.hosts.find((host) => host.member?.role !== Role.Leader);
  if (follower === undefined) {
    throw new Error('no follower');
  }
  return follower;
}

/** Expects that every host has applied every committed entry, and that commits continue. */
function expectCaughtUp(simulation: Simulation): void {
  const { checker, hosts } = simulation;
  const before = checker.completedIndex;
  runUnderLoad(simulation, 200);
  simulation.run(400);
  expect(checker.completedIndex).toBeGreaterThan(before);
  expect(hosts.map((host) => host.appliedIndex)).toEqual(hosts.map(() => checker.committedIndex));
}

function replaceDisk(simulation: Simulation, host: SimulatedHost): void {
  simulation.loseDisk(host);
  simulation.start(host);
  for (let waitedMs = 0; waitedMs < 10_000 && !simulation.isMembershipSettled; waitedMs += 20) {
    runUnderLoad(simulation, 20);
  }
  expect(simulation.isMembershipSettled).toBe(true);
}

test.each(SEEDS)(
  'lost disks, each replaced before the next is lost, lose no commit (seed %i)',
  (seed) => {
    const simulation = createRunningSimulation(seed);
    const first = getFollower(simulation);
    replaceDisk(simulation, first);
    const second = simulation.hosts.find((host) => host !== first && host !== simulation.leader);
    replaceDisk(simulation, second ?? getLeader(simulation));
    replaceDisk(simulation, getLeader(simulation));
    expectCaughtUp(simulation);
  },
);

test.each(SEEDS)(
  'an isolated host that reconnects does not disrupt the leader (seed %i)',
  (seed) => {
    const simulation = createRunningSimulation(seed);
    const isolated = getFollower(simulation);
    const leader = getLeader(simulation);
    const term = leader.member?.term;
    simulation.network.isolate(isolated.number, 3);
    runUnderLoad(simulation, 20_000);
    expect(isolated.member?.role).toBe(Role.PreCandidate);
    simulation.network.heal();
    runUnderLoad(simulation, SETTLING_MS);
    expect(simulation.leader).toBe(leader);
    expect(simulation.hosts.map((host) => host.member?.term)).toEqual([term, term, term]);
    expectCaughtUp(simulation);
  },
);

test('without pre-vote, an isolated host that reconnects disrupts the leader', () => {
  class NoPreVote extends ConsensusRules {
    override usesPreVote(): boolean {
      return false;
    }
  }
  const simulation = createRunningSimulation(1, 3, new NoPreVote());
  const term = getLeader(simulation).member?.term ?? 0;
  simulation.network.isolate(getFollower(simulation).number, 3);
  runUnderLoad(simulation, 5_000);
  simulation.network.heal();
  runUnderLoad(simulation, SETTLING_MS);
  expect(getLeader(simulation).member?.term).toBeGreaterThan(term + 1);
});

test.each(SEEDS)('an isolated leader answers no read and holds no lease (seed %i)', (seed) => {
  const simulation = createRunningSimulation(seed);
  const former = getLeader(simulation);
  simulation.network.isolate(former.number, 3);
  const answered = simulation.checker.answeredReads;
  for (let step = 0; step < 300; step++) {
    simulation.run(10);
    simulation.read(former);
  }
  expect(simulation.checker.answeredReads).toBe(answered);
  expect(former.member?.isLeaseValid(former.getClock(simulation.events.nowMs))).toBe(false);
  expect(former.member?.role).not.toBe(Role.Leader);
  expect(simulation.leader).not.toBe(former);
});

test.each(SEEDS)(
  'five hosts lose no commit when the disk of the leader is replaced twice (seed %i)',
  (seed) => {
    const simulation = createRunningSimulation(seed, 5);
    replaceDisk(simulation, getLeader(simulation));
    replaceDisk(simulation, getLeader(simulation));
    expectCaughtUp(simulation);
  },
);

test.each(SEEDS)('a host whose requests were lost catches up by a snapshot (seed %i)', (seed) => {
  const simulation = createRunningSimulation(seed);
  const lagging = getFollower(simulation);
  simulation.network.cutLink(getLeader(simulation).number, lagging.number);
  runUnderLoad(simulation, 3_000);
  expect(lagging.appliedIndex).toBeLessThan(simulation.checker.committedIndex - 40);
  simulation.network.heal();
  runUnderLoad(simulation, SETTLING_MS);
  expectCaughtUp(simulation);
});

test.each(SEEDS)('leadership is transferred without an election timeout (seed %i)', (seed) => {
  const simulation = createRunningSimulation(seed);
  const former = getLeader(simulation);
  simulation.transfer(former);
  simulation.run(100);
  expect(simulation.leader).not.toBe(former);
  expect(simulation.leader).toBeDefined();
  expectCaughtUp(simulation);
});

function changeMembership(simulation: Simulation, change: MembershipChange): void {
  const request = toRequestId(`change ${change.kind} ${change.member}`);
  simulation.input(getLeader(simulation), { kind: InputKind.ChangeMembership, request, change });
}

test.each(SEEDS)(
  'a removed leader transfers leadership and does not disrupt its successor (seed %i)',
  (seed) => {
    const simulation = createRunningSimulation(seed);
    simulation.managesMembership = false;
    const former = getLeader(simulation);
    const others = simulation.hosts.filter((host) => host !== former);
    const member = former.identity;
    changeMembership(simulation, { kind: MembershipChangeKind.RemoveMember, member });
    simulation.run(100);
    const leader = getLeader(simulation);
    expect(others).toContain(leader);
    expect(leader.member?.membership).toEqual({
      voters: others.map((host) => host.identity),
      learners: [],
    });
    const term = leader.member?.term;
    runUnderLoad(simulation, 5_000);
    expect(getLeader(simulation)).toBe(leader);
    expect(leader.member?.term).toBe(term);
    expect(leader.member?.commitIndex).toBe(simulation.checker.committedIndex);
  },
);

test.each(SEEDS)(
  'a host that was removed while down does not disrupt the leader when it starts (seed %i)',
  (seed) => {
    const simulation = createRunningSimulation(seed);
    simulation.managesMembership = false;
    const removed = getFollower(simulation);
    simulation.crash(removed);
    const { identity: member } = removed;
    changeMembership(simulation, { kind: MembershipChangeKind.RemoveMember, member });
    runUnderLoad(simulation, 500);
    const leader = getLeader(simulation);
    const term = leader.member?.term;
    expect(leader.member?.membership.voters).not.toContain(member);
    simulation.start(removed);
    runUnderLoad(simulation, 10_000);
    expect(getLeader(simulation)).toBe(leader);
    expect(leader.member?.term).toBe(term);
    expect(removed.member?.term).toBe(term);
  },
);
