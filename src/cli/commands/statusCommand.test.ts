import { expect, test } from 'vitest';
import { useCliFixture } from '../../../tests/support/cliFixture.js';
import { Diagnostics } from '../../common/diagnostics/index.js';
import {
  toAccountId,
  toFailureDomain,
  toGroupId,
  toHostId,
  toInstanceId,
  toLogPosition,
  toRevision,
  toTerm,
} from '../../common/ids/index.js';
import {
  InstanceRole,
  PrimaryPhase,
  type FleetStatus,
  type InstanceStatus,
} from '../../decisions/control/index.js';

const STATUS: FleetStatus = {
  leader: toHostId('a1'),
  controlTerm: 3,
  revision: toRevision(40),
  daemons: [
    {
      host: toHostId('a1'),
      domain: toFailureDomain('mekelle'),
      address: '127.0.1.1:7400',
      revision: toRevision(39),
      leaseLeftMs: 1234.5,
    },
  ],
  groups: [
    {
      group: toGroupId('ledger-1'),
      holder: toHostId('a1'),
      term: toTerm(2),
      primary: toInstanceId('ledger-1-a'),
      phase: PrimaryPhase.Serving,
      instances: [
        createInstance('ledger-1-a', InstanceRole.Primary, 2, 900),
        { ...createInstance('ledger-1-b', InstanceRole.Replica, 2, 870), reader: toHostId('b2') },
        createInstance('ledger-1-c', InstanceRole.Replica, 1, 905),
      ],
    },
  ],
  accounts: [{ account: toAccountId('mill-7') }],
};

function createInstance(
  name: string,
  role: InstanceRole,
  term: number,
  position: number,
): InstanceStatus {
  return {
    instance: toInstanceId(name),
    domain: toFailureDomain('mekelle'),
    role,
    term: toTerm(term),
    position: toLogPosition(position),
    announcedAgoMs: 80,
  };
}

const cli = useCliFixture();

test('status shows daemons, groups, lag and the refusals at each address', async () => {
  cli.control.status = STATUS;
  cli.host.metrics.getAccount(toAccountId('mill-7')).recordRefused(Diagnostics.LeaseExpired);
  expect((await cli.run('status')).output).toMatchInlineSnapshot(`
    "control leader a1, term 3, revision 40

    DAEMON  DOMAIN   ADDRESS         REVISION  BEHIND  LEASE LEFT
    a1      mekelle  127.0.1.1:7400  39        1       1235 ms

    GROUP     HOLDER  TERM  PRIMARY     PHASE
    ledger-1  a1      2     ledger-1-a  serving

    GROUP     INSTANCE    DOMAIN   ROLE     TERM  POSITION  READER  LAG  ANNOUNCED
    ledger-1  ledger-1-a  mekelle  primary  2     900       -       0    80 ms
    ledger-1  ledger-1-b  mekelle  replica  2     870       b2      30   80 ms
    ledger-1  ledger-1-c  mekelle  replica  1     905       -       -    80 ms

    ACCOUNT  HOLDER
    mill-7   -

    ACCOUNT  REFUSAL  COUNT
    mill-7   FP3005   1
    "
  `);
  expect(await cli.runJson('status')).toEqual({
    ...STATUS,
    refusals: [{ account: 'mill-7', code: 'FP3005', count: 1 }],
  });
});
