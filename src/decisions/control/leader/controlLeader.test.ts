import { expect, test } from 'vitest';
import {
  toAccountId,
  toFailureDomain,
  toGroupId,
  toInstanceId,
  toTicketNumber,
} from '../../../common/ids/index.js';
import { SubjectKind } from '../../tickets/index.js';
import { PrimaryPhase } from '../index.js';
import {
  DEFAULT_FLEET_OPTIONS,
  FakeFleet,
  type FakeDaemon,
} from '../../../../tests/support/fleet/index.js';
import { DEFAULT_LEASE_TERMS } from '../../leases/leaseTerms.js';

const RENEWAL_INTERVAL_MS = 200;
const GROUP = toGroupId('g0');
const WRITE_TIMEOUT_MS = 20_000;

function createFleet(): FakeFleet {
  const fleet = new FakeFleet(DEFAULT_FLEET_OPTIONS);
  fleet.run(2000);
  return fleet;
}

test('a new fleet gets holders and primaries and acknowledges writes', () => {
  const fleet = createFleet();
  for (const group of fleet.groups) {
    expect(fleet.getHolder(group).isActing(group)).toBe(true);
    expect(fleet.control.truth.getPrimary(group)?.phase).toBe(PrimaryPhase.Serving);
    expect(fleet.count(group)).toBeGreaterThan(50);
  }
});

test('a primary lost while its holder is alive is replaced before any lease expires', () => {
  const fleet = createFleet();
  const primary = fleet.getPrimary(GROUP);
  primary.isAlive = false;
  fleet.run(20);
  expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBeLessThan(600);
  expect(fleet.getPrimary(GROUP)).not.toBe(primary);
});

test('a holder and primary lost together are replaced after the lease of the holder expires', () => {
  const fleet = createFleet();
  const primary = fleet.getPrimary(GROUP);
  fleet.getHolder(GROUP).kill();
  primary.isAlive = false;
  const takenMs = fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS);
  expect(takenMs).toBeGreaterThan(DEFAULT_LEASE_TERMS.lengthMs - RENEWAL_INTERVAL_MS);
  expect(takenMs).toBeLessThan(3000);
  expect(fleet.getPrimary(GROUP)).not.toBe(primary);
});

test('a holder lost alone is replaced after its lease expires, and the primary stays', () => {
  const fleet = createFleet();
  const primary = fleet.getPrimary(GROUP);
  fleet.getHolder(GROUP).kill();
  expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBeLessThan(2600);
  fleet.run(2000);
  expect(fleet.getPrimary(GROUP)).toBe(primary);
});

test('a stopping holder is replaced before any lease expires', () => {
  const fleet = createFleet();
  const holder = fleet.getHolder(GROUP);
  holder.isStopping = true;
  fleet.run(20);
  expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBeLessThan(800);
  expect(fleet.getHolder(GROUP)).not.toBe(holder);
});

test('a failure domain that is taken out of service keeps neither holders nor primaries', () => {
  const fleet = createFleet();
  const { domain } = fleet.getPrimary(GROUP);
  const state = { kind: SubjectKind.FailureDomain, domain, inService: false } as const;
  fleet.submit({ number: toTicketNumber(1), subjects: [state] });
  fleet.run(3000);
  for (const group of fleet.groups) {
    expect(fleet.getPrimary(group).domain).not.toBe(domain);
    expect(fleet.getHolder(group).domain).not.toBe(domain);
  }
  expect(fleet.control.leader?.getSubjectStatuses(undefined, fleet.nowMs)).toMatchObject([
    { subject: `failure-domain/${domain}`, ticket: 1, everywhere: true, missing: [] },
  ]);
});

test('a planned move of a leaving primary loses no write, not even an unacknowledged one', () => {
  const fleet = createFleet();
  const primary = fleet.getPrimary(GROUP);
  const { group, instance } = primary;
  const state = { kind: SubjectKind.BackendServer, group, instance, leaving: true } as const;
  fleet.submit({ number: toTicketNumber(1), subjects: [state] });
  fleet.run(1000);
  expect(fleet.getPrimary(GROUP)).not.toBe(primary);
  const [ended] = fleet.control.truth.getPrimary(GROUP)?.history ?? [];
  const kept = primary.entries.slice(0, ended?.position);
  expect(ended?.position).toBeGreaterThan(0);
  expect(fleet.getPrimary(GROUP).entries.slice(0, ended?.position)).toEqual(kept);
});

test('a new leader continues a promotion in progress and moves no holder', () => {
  const fleet = createFleet();
  const holder = fleet.getHolder(GROUP);
  fleet.getPrimary(GROUP).isAlive = false;
  while (fleet.control.truth.getPrimary(GROUP)?.phase !== PrimaryPhase.Promoting) {
    fleet.run(10);
  }
  const term = fleet.control.truth.getPrimary(GROUP)?.term;
  fleet.control.isolateLeader(600);
  fleet.run(2500);
  expect(fleet.control.truth.getPrimary(GROUP)).toMatchObject({
    term,
    phase: PrimaryPhase.Serving,
  });
  expect(fleet.getHolder(GROUP)).toBe(holder);
});

function submitDomain(fleet: FakeFleet, number: number, domain: string, inService: boolean): void {
  const kind = SubjectKind.FailureDomain;
  const state = { kind, domain: toFailureDomain(domain), inService } as const;
  fleet.submit({ number: toTicketNumber(number), subjects: [state] });
}

function expectNoHolderOrPrimaryIn(fleet: FakeFleet, domains: readonly string[]): void {
  for (const group of fleet.groups) {
    expect(domains).not.toContain(fleet.getPrimary(group).domain);
    expect(domains).not.toContain(fleet.getHolder(group).domain);
  }
}

test('failure domains are taken out of service and returned one after another', () => {
  const fleet = createFleet();
  const rounds: [string, boolean, string[]][] = [
    ['d0', false, ['d0']],
    ['d1', false, ['d0', 'd1']],
    ['d0', true, ['d1']],
    ['d2', false, ['d1', 'd2']],
    ['d1', true, ['d2']],
    ['d2', true, []],
  ];
  for (const [index, [domain, inService, out]] of rounds.entries()) {
    submitDomain(fleet, index + 1, domain, inService);
    fleet.run(3000);
    expectNoHolderOrPrimaryIn(fleet, out);
    expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBeLessThan(1000);
  }
});

test('writes continue with one failure domain out of service and another one lost', () => {
  const fleet = createFleet();
  submitDomain(fleet, 1, 'd0', false);
  fleet.run(3000);
  const lost = fleet.getPrimary(GROUP).domain;
  for (const daemon of fleet.daemons.filter((each) => each.domain === lost)) {
    daemon.kill();
  }
  for (const instance of fleet.instances.values()) {
    instance.isAlive = instance.domain !== lost;
  }
  fleet.run(4000);
  expectNoHolderOrPrimaryIn(fleet, ['d0', lost]);
  expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBeLessThan(1000);
});

test('a host that returns to a loaded fleet is assigned groups again', () => {
  const fleet = new FakeFleet({ ...DEFAULT_FLEET_OPTIONS, groups: 30 });
  fleet.run(3000);
  const [daemon] = fleet.daemons;
  const countHeld = () => fleet.groups.filter((group) => fleet.getHolder(group) === daemon).length;
  expect(countHeld()).toBeGreaterThan(2);
  daemon?.kill();
  fleet.run(4000);
  expect(countHeld()).toBe(0);
  daemon?.restart();
  fleet.run(5000);
  expect(countHeld()).toBeLessThan(2);
  fleet.run(40_000);
  expect(countHeld()).toBeGreaterThan(2);
});

test('a promotion whose instance is lost is replaced under a higher term', () => {
  const fleet = createFleet();
  const first = fleet.getPrimary(GROUP);
  first.isAlive = false;
  while (fleet.control.truth.getPrimary(GROUP)?.phase !== PrimaryPhase.Promoting) {
    fleet.run(10);
  }
  const second = fleet.getPrimary(GROUP);
  second.isAlive = false;
  expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBe(WRITE_TIMEOUT_MS);
  expect(fleet.getPrimary(GROUP)).not.toBe(second);
  expect(fleet.control.truth.getPrimary(GROUP)).toMatchObject({ term: 3 });
  first.isAlive = true;
  expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBeLessThan(1000);
  expect(fleet.getPrimary(GROUP)).not.toBe(first);
});

test('no instance is promoted while all instances with every acknowledged write are lost', () => {
  const fleet = createFleet();
  const first = fleet.getPrimary(GROUP);
  const second = fleet.getInstance(toInstanceId('g0i1'));
  const third = fleet.getInstance(toInstanceId('g0i2'));
  third.copyRate = 0;
  fleet.run(500);
  first.isAlive = false;
  second.isAlive = false;
  fleet.getHolder(GROUP).kill();
  fleet.run(8000);
  expect(fleet.getPrimary(GROUP)).toBe(first);
  second.isAlive = true;
  third.copyRate = 1000;
  expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBeLessThan(3000);
  expect(fleet.getPrimary(GROUP)).toBe(second);
});

test('no acknowledged write is lost when the new primary is lost right after a promotion', () => {
  const fleet = createFleet();
  const first = fleet.getPrimary(GROUP);
  first.isAlive = false;
  fleet.run(1500);
  const second = fleet.getPrimary(GROUP);
  expect(second).not.toBe(first);
  second.isAlive = false;
  fleet.run(50);
  expect(fleet.runUntilWrite(GROUP, 5000)).toBe(5000);
  const third = fleet.getPrimary(GROUP);
  expect([first, second]).not.toContain(third);
  second.isAlive = true;
  expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBeLessThan(1000);
});

test('the status names leader, daemons, holders, primaries and positions', () => {
  const fleet = createFleet();
  const status = fleet.control.leader?.getStatus(fleet.nowMs);
  expect(status).toMatchObject({ leader: 'control-1', controlTerm: 1, accounts: [] });
  expect(status?.daemons.map((daemon) => daemon.host)).toHaveLength(6);
  expect(status?.daemons.every((daemon) => daemon.leaseLeftMs > 0)).toBe(true);
  expect(status?.groups).toMatchObject([
    { group: 'g0', term: 1, primary: 'g0i0', phase: 'serving', holder: 'h3' },
    { group: 'g1', term: 1, primary: 'g1i0', phase: 'serving', holder: 'h1' },
  ]);
  expect(status?.groups[0]?.instances).toHaveLength(3);
});

test('a holder that reaches no instance is replaced by another host', () => {
  const fleet = createFleet();
  const holder = fleet.getHolder(GROUP);
  for (const instance of fleet.instances.values()) {
    fleet.network.cut(holder.host, instance.instance);
  }
  fleet.run(50);
  expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBeLessThan(2000);
  expect(fleet.getHolder(GROUP)).not.toBe(holder);
});

test('another instance is promoted when the holder reaches all instances but the primary', () => {
  const fleet = createFleet();
  const holder = fleet.getHolder(GROUP);
  const primary = fleet.getPrimary(GROUP);
  fleet.network.cut(holder.host, primary.instance);
  fleet.run(50);
  expect(fleet.runUntilWrite(GROUP, WRITE_TIMEOUT_MS)).toBeLessThan(1000);
  expect(fleet.getHolder(GROUP)).toBe(holder);
  expect(fleet.getPrimary(GROUP)).not.toBe(primary);
});

test('client accounts are spread over the hosts, and those of lost or stopping hosts move', () => {
  const fleet = createFleet();
  const accounts = Array.from({ length: 12 }, (_, index) => toAccountId(`a${index}`));
  const subjects = accounts.map((account) => {
    const limits = { rate: 5, burst: 5, maximumOpenTransactions: 1 };
    const keys = { salt: 'c2FsdA==', iterations: 4096, keys: [] };
    return { kind: SubjectKind.Account, account, ...limits, ...keys } as const;
  });
  fleet.submit({ number: toTicketNumber(1), subjects });
  fleet.run(1000);
  const count = (daemon: FakeDaemon) =>
    accounts.filter((account) => daemon.isHandingOut(account)).length;
  expect(fleet.daemons.map(count)).toEqual([2, 2, 2, 2, 2, 2]);
  const [lost, stopping] = fleet.daemons;
  lost?.kill();
  if (stopping !== undefined) {
    stopping.isStopping = true;
  }
  fleet.run(4000);
  const left = fleet.daemons.slice(2).map(count);
  expect(left.reduce((sum, each) => sum + each, 0)).toBe(12);
  expect(Math.max(...left)).toBe(3);
});
