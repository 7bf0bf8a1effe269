import { expect, test } from 'vitest';
import {
  DEFAULT_FLEET_OPTIONS,
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
