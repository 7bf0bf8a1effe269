import { expect, test } from 'vitest';
import { toFailureDomain, toTicketNumber } from '../../../common/ids/index.js';
import { SubjectKind } from '../../tickets/index.js';
import type { LeaseRenewal } from '../index.js';
import {
  DEFAULT_FLEET_OPTIONS,
  FakeControl,
  FakeFleet,
  type FakeDaemon,
} from '../../../../tests/support/fleet/index.js';
import { DEFAULT_LEASE_TERMS } from '../../leases/leaseTerms.js';

const ELECTION_MS = 500;
const WRITE_TIMEOUT_MS = 20_000;
/**
 * Delay past the leader's first lease length, in which it counts its predecessor's leases as
 * lasting.
 */
const RETURN_DELAY_MS = ELECTION_MS + 2 * DEFAULT_LEASE_TERMS.lengthMs;

/** Creates a fleet that lost all hosts; half of them returned after a delay. */
function createReturnedFleet(): { readonly fleet: FakeFleet; readonly delayed: FakeDaemon[] } {
  const fleet = new FakeFleet({ ...DEFAULT_FLEET_OPTIONS, daemons: 8, domains: 2, groups: 4 });
  fleet.run(2000);
  const { daemons } = fleet;
  const delayed = daemons.filter((_, index) => index % 4 >= 2);
  daemons.forEach((daemon) => daemon.kill());
  fleet.control.isolateLeader(ELECTION_MS);
  daemons.filter((daemon) => !delayed.includes(daemon)).forEach((daemon) => daemon.restart());
  fleet.run(RETURN_DELAY_MS);
  delayed.forEach((daemon) => daemon.restart());
  fleet.run(RETURN_DELAY_MS);
  return { fleet, delayed };
}

test('hosts that return late after the loss of all hosts take over the groups of a host lost afterwards', () => {
  const { fleet, delayed } = createReturnedFleet();
  const [group] = fleet.groups;
  const lost = group === undefined ? undefined : fleet.getHolder(group);
  const lostGroups = fleet.groups.filter((each) => fleet.getHolder(each) === lost);
  lost?.kill();
  for (const lostGroup of lostGroups) {
    fleet.runUntilWrite(lostGroup, WRITE_TIMEOUT_MS);
    expect(delayed.map(({ host }) => host)).toContain(fleet.getHolder(lostGroup).host);
  }
});

/** Time for which renewals wait at a busy leader before it processes them. */
const QUEUE_MS = 700;
const CHANGE_INTERVAL_MS = 50;

/** Control whose leader is so busy that renewals wait in its sockets. */
class BusyControl extends FakeControl {
  private waiting: { atMs: number; daemon: FakeDaemon; renewal: LeaseRenewal }[] = [];

  constructor(private readonly served: FakeFleet) {
    super(served);
  }

  override sendRenewal(daemon: FakeDaemon, renewal: LeaseRenewal): void {
    this.waiting.push({ atMs: this.served.nowMs + QUEUE_MS, daemon, renewal });
  }

  override step(): void {
    const { nowMs } = this.served;
    const due = this.waiting.filter(({ atMs }) => atMs <= nowMs);
    this.waiting = this.waiting.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ daemon, renewal }) => super.sendRenewal(daemon, renewal));
    super.step();
  }
}

test('a busy leader grants leases while changes are committed, however long renewals wait', () => {
  const createControl = (fleet: FakeFleet): BusyControl => new BusyControl(fleet);
  const fleet = new FakeFleet({ ...DEFAULT_FLEET_OPTIONS, createControl });
  fleet.run(2000);
  fleet.daemons.forEach((daemon) => {
    daemon.kill();
    daemon.restart();
  });
  const state = { kind: SubjectKind.FailureDomain, domain: toFailureDomain('d0') } as const;
  for (let number = 1; number * CHANGE_INTERVAL_MS < 4 * QUEUE_MS; number += 1) {
    const inService = number % 2 === 0;
    fleet.submit({ number: toTicketNumber(number), subjects: [{ ...state, inService }] });
    fleet.run(CHANGE_INTERVAL_MS);
  }
  expect(fleet.daemons.map((daemon) => daemon.isServing())).not.toContain(false);
});
