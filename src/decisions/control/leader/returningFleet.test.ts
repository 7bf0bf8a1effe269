import { expect, test } from 'vitest';
import {
  DEFAULT_FLEET_OPTIONS,
  FakeFleet,
  type FakeDaemon,
} from '../../../../tests/support/fleet/index.js';
import { DEFAULT_LEASE_TERMS } from '../../leases/leaseTerms.js';

const ELECTION_MS = 500;
const LIMIT_MS = 20_000;
/** After the leader's first lease length, in which it counts leases of its predecessor as lasting. */
const LATE_MS = ELECTION_MS + 2 * DEFAULT_LEASE_TERMS.lengthMs;

/** A fleet in which all hosts were lost; half of them come back late. */
function createReturnedFleet(): { readonly fleet: FakeFleet; readonly late: FakeDaemon[] } {
  const fleet = new FakeFleet({ ...DEFAULT_FLEET_OPTIONS, daemons: 8, domains: 2, groups: 4 });
  fleet.run(2000);
  const { daemons } = fleet;
  const late = daemons.filter((_, index) => index % 4 >= 2);
  daemons.forEach((daemon) => daemon.kill());
  fleet.control.isolateLeader(ELECTION_MS);
  daemons.filter((daemon) => !late.includes(daemon)).forEach((daemon) => daemon.restart());
  fleet.run(LATE_MS);
  late.forEach((daemon) => daemon.restart());
  fleet.run(LATE_MS);
  return { fleet, late };
}

test('after the loss of all hosts those that come back late take what another one loses', () => {
  const { fleet, late } = createReturnedFleet();
  const [group] = fleet.groups;
  const lost = group === undefined ? undefined : fleet.getHolder(group);
  const orphans = fleet.groups.filter((each) => fleet.getHolder(each) === lost);
  lost?.kill();
  for (const orphan of orphans) {
    fleet.runUntilWrite(orphan, LIMIT_MS);
    expect(late.map(({ host }) => host)).toContain(fleet.getHolder(orphan).host);
  }
});
