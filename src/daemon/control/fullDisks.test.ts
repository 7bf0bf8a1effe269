import { expect, test } from 'vitest';
import { StoredQuorum, type StoredHost } from '../../../tests/support/storage/storedQuorum.js';
import { FULL_DISK_GRACE_MS } from '../../decisions/control/index.js';

/** Limit for the acknowledgement of a change while a majority is available, in milliseconds. */
const ACKNOWLEDGEMENT_LIMIT_MS = 5000;
/**
 * Limit for the acknowledgement of a change while at most one disk is full and no host fails, in
 * milliseconds: a few heartbeats, no election.
 */
const PROMPT_LIMIT_MS = 200;
const SETTLE_MS = 4000;
const CHANGE_INTERVAL_MS = 100;
const SPAN_COUNT = 6;
const ELECTION_COUNT = 4;

async function submitChanges(quorum: StoredQuorum, durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += CHANGE_INTERVAL_MS) {
    quorum.want();
    await quorum.pass(CHANGE_INTERVAL_MS);
  }
}

function fillDisk({ random }: StoredQuorum, host: StoredHost | undefined): void {
  host?.disk.fill(
    {
      keepsParts: random.chance(0.5),
      refusesCuts: random.chance(0.5),
      refusesNames: random.chance(0.5),
    },
    random,
  );
}

/**
 * Fills the disk of one host for a while. With `mayFail` the host may lose power, and the leader
 * may transfer leadership, in the meantime.
 */
async function runFullDiskSpan(quorum: StoredQuorum, mayFail: boolean): Promise<void> {
  const { random, hosts } = quorum;
  const host = random.chance(0.4) ? quorum.leader : random.pick(hosts);
  fillDisk(quorum, host);
  await submitChanges(quorum, 200 + random.nextBelow(3000));
  if (mayFail && host !== undefined && random.chance(0.3)) {
    await quorum.cutPower(host, 300);
  }
  if (mayFail && random.chance(0.3)) {
    quorum.leader?.member?.transferLeadership();
  }
  await submitChanges(quorum, 500 + random.nextBelow(1500));
  host?.disk.makeRoom();
  if (random.chance(0.5)) {
    await submitChanges(quorum, random.nextBelow(500));
  }
}

async function expectPromptAcknowledgement(quorum: StoredQuorum): Promise<void> {
  const first = quorum.changes.length;
  await submitChanges(quorum, 2000);
  await quorum.pass(PROMPT_LIMIT_MS);
  expect(quorum.getLongestMs(first)).toBeLessThanOrEqual(PROMPT_LIMIT_MS);
}

/**
 * Expects that all changes are acknowledged, all copies of the state are equal and no disk is full.
 */
function expectAgreement(quorum: StoredQuorum): void {
  expect(quorum.changes.every(({ acknowledgedMs }) => acknowledgedMs !== undefined)).toBe(true);
  const copies = quorum.hosts.map(({ state }) => JSON.stringify(state.createSnapshot()));
  expect(new Set(copies).size).toBe(1);
  expect(quorum.hosts.map(({ member }) => member?.refusedMs)).toEqual(
    quorum.hosts.map(() => undefined),
  );
}

test.each([1, 2, 3, 4, 5, 6])(
  'no host stops and no change is delayed while disks are full one after another (seed %i)',
  async (seed) => {
    const quorum = new StoredQuorum(seed, seed % 2 === 0 ? 5 : 3);
    await quorum.start();
    for (let span = 0; span < SPAN_COUNT; span++) {
      await runFullDiskSpan(quorum, false);
    }
    expect(quorum.ends).toBe(0);
    expect(quorum.getLongestMs()).toBeLessThanOrEqual(PROMPT_LIMIT_MS);
    await expectPromptAcknowledgement(quorum);
    expectAgreement(quorum);
  },
);

test.each([1, 2, 3, 4, 5, 6])(
  'no change is lost when disks are full in turn during power cuts and elections (seed %i)',
  async (seed) => {
    const quorum = new StoredQuorum(seed, seed % 2 === 0 ? 5 : 3);
    await quorum.start();
    for (let span = 0; span < SPAN_COUNT; span++) {
      await runFullDiskSpan(quorum, true);
    }
    expect(quorum.ends).toBe(0);
    expect(quorum.getLongestMs()).toBeLessThanOrEqual(ACKNOWLEDGEMENT_LIMIT_MS);
    await quorum.pass(SETTLE_MS);
    await expectPromptAcknowledgement(quorum);
    expectAgreement(quorum);
  },
);

test('a leader with a full disk transfers leadership once and catches up when space is free', async () => {
  const quorum = new StoredQuorum(7, 3);
  await quorum.start();
  const full = quorum.leader;
  fillDisk(quorum, full);
  await submitChanges(quorum, FULL_DISK_GRACE_MS + 2000);
  const { leader } = quorum;
  expect(leader).not.toBe(full);
  const term = leader?.member?.term;
  await submitChanges(quorum, FULL_DISK_GRACE_MS);
  expect([quorum.leader, quorum.leader?.member?.term]).toEqual([leader, term]);
  full?.disk.makeRoom();
  await expectPromptAcknowledgement(quorum);
  expect([quorum.leader, quorum.leader?.member?.term]).toEqual([leader, term]);
  expect(quorum.ends).toBe(0);
  expectAgreement(quorum);
});

test('while most disks are full no change is acknowledged and the leader keeps its lease', async () => {
  const quorum = new StoredQuorum(10, 3);
  await quorum.start();
  const { leader } = quorum;
  const full = [leader, quorum.hosts.find((host) => host !== leader)];
  full.forEach((host) => fillDisk(quorum, host));
  await submitChanges(quorum, 3000);
  expect(quorum.changes.every(({ acknowledgedMs }) => acknowledgedMs === undefined)).toBe(true);
  expect([quorum.leader, leader?.member?.isLeaseValid()]).toEqual([leader, true]);
  full.forEach((host) => host?.disk.makeRoom());
  await expectPromptAcknowledgement(quorum);
  expect(quorum.ends).toBe(0);
  expectAgreement(quorum);
});

test('a host whose disk is full causes no additional elections', async () => {
  const quorum = new StoredQuorum(8, 5);
  await quorum.start();
  const full = quorum.hosts.find((host) => host !== quorum.leader);
  fillDisk(quorum, full);
  await submitChanges(quorum, 500);
  const term = quorum.leader?.member?.term ?? 0;
  for (let election = 0; election < ELECTION_COUNT; election++) {
    const { leader } = quorum;
    expect(leader).not.toBe(full);
    if (leader !== undefined) {
      await quorum.cutPower(leader, 1000);
    }
    await submitChanges(quorum, 2000);
  }
  expect((quorum.leader?.member?.term ?? 0) - term).toBe(ELECTION_COUNT);
  full?.disk.makeRoom();
  await submitChanges(quorum, SETTLE_MS);
  expect((quorum.leader?.member?.term ?? 0) - term).toBe(ELECTION_COUNT);
  await expectPromptAcknowledgement(quorum);
  expect(quorum.ends).toBe(0);
  expectAgreement(quorum);
});

test('a host that is stopped while its disk is full stops cleanly and recovers its log', async () => {
  const quorum = new StoredQuorum(9, 3);
  await quorum.start();
  const full = quorum.leader;
  fillDisk(quorum, full);
  await submitChanges(quorum, 500);
  await full?.member?.stop();
  if (full !== undefined) {
    await quorum.cutPower(full, 100);
    full.disk.makeRoom();
  }
  await submitChanges(quorum, SETTLE_MS);
  await expectPromptAcknowledgement(quorum);
  expect(quorum.ends).toBe(0);
  expectAgreement(quorum);
});
