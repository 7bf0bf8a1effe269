import { expect, test } from 'vitest';
import { toGroupId, toTicketNumber } from '../../../common/ids/index.js';
import { SubjectKind } from '../../tickets/index.js';
import { PrimaryPhase } from '../index.js';
import { DEFAULT_FLEET_OPTIONS, FakeFleet } from '../../../../tests/support/fleet/index.js';

const GROUP = toGroupId('g0');
const LIMIT_MS = 20_000;

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

test('a primary lost while its holder lives is replaced without waiting for a lease', () => {
  const fleet = createFleet();
  const primary = fleet.getPrimary(GROUP);
  primary.isAlive = false;
  fleet.run(20);
  expect(fleet.runUntilWrite(GROUP, LIMIT_MS)).toBeLessThan(600);
  expect(fleet.getPrimary(GROUP)).not.toBe(primary);
});

test('a holder and primary lost together are replaced after the lease', () => {
  const fleet = createFleet();
  const primary = fleet.getPrimary(GROUP);
  fleet.getHolder(GROUP).kill();
  primary.isAlive = false;
  const takenMs = fleet.runUntilWrite(GROUP, LIMIT_MS);
  expect(takenMs).toBeGreaterThan(1800);
  expect(takenMs).toBeLessThan(3000);
  expect(fleet.getPrimary(GROUP)).not.toBe(primary);
});

test('a holder lost alone is replaced after the lease, and the primary stays', () => {
  const fleet = createFleet();
  const primary = fleet.getPrimary(GROUP);
  fleet.getHolder(GROUP).kill();
  expect(fleet.runUntilWrite(GROUP, LIMIT_MS)).toBeLessThan(2600);
  fleet.run(2000);
  expect(fleet.getPrimary(GROUP)).toBe(primary);
});

test('a holder that stops hands over without waiting for a lease', () => {
  const fleet = createFleet();
  const holder = fleet.getHolder(GROUP);
  holder.isStopping = true;
  fleet.run(20);
  expect(fleet.runUntilWrite(GROUP, LIMIT_MS)).toBeLessThan(800);
  expect(fleet.getHolder(GROUP)).not.toBe(holder);
});

test('a failure domain that goes out keeps neither holders nor primaries', () => {
  const fleet = createFleet();
  const { domain } = fleet.getPrimary(GROUP);
  const state = { kind: SubjectKind.FailureDomain, domain, inService: false } as const;
  fleet.submit({ number: toTicketNumber(1), subjects: [state] });
  fleet.run(3000);
  for (const group of fleet.groups) {
    expect(fleet.getPrimary(group).domain).not.toBe(domain);
    expect(fleet.getHolder(group).domain).not.toBe(domain);
  }
  expect(fleet.control.leader?.getReadings(undefined, fleet.nowMs)).toMatchObject([
    { subject: `failure-domain/${domain}`, ticket: 1, everywhere: true, missing: [] },
  ]);
});

test('a primary that is leaving is moved and loses nothing, also unacknowledged writes', () => {
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

test('a new leader goes on with a promotion under way and moves no holder', () => {
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
