import { expect, test } from 'vitest';
import { useCliFixture } from '../../../tests/support/cliFixture.js';
import { ExitStatus } from '../exitStatus.js';

const cli = useCliFixture();

test('a failure domain goes out and comes back', async () => {
  expect((await cli.run('domain out adigrat')).output).toBe(
    'Failure domain "adigrat" is out of service by ticket 9.\n',
  );
  expect((await cli.run('domain back adigrat')).output).toBe(
    'Failure domain "adigrat" is back in service by ticket 10.\n',
  );
  expect(cli.control.submitted.map((ticket) => ticket.subjects)).toEqual([
    [{ kind: 'failure-domain', domain: 'adigrat', inService: false }],
    [{ kind: 'failure-domain', domain: 'adigrat', inService: true }],
  ]);
});

test('a backend server leaves and returns', async () => {
  const subject = { kind: 'backend-server', group: 'ledger-1', instance: 'ledger-1-b' };
  expect((await cli.run('backend leave ledger-1 ledger-1-b')).status).toBe(ExitStatus.Done);
  expect(await cli.runJson('backend return ledger-1 ledger-1-b --number 20')).toEqual({
    group: 'ledger-1',
    instance: 'ledger-1-b',
    leaving: false,
    number: 20,
  });
  expect(cli.control.submitted.map((ticket) => ticket.subjects)).toEqual([
    [{ ...subject, leaving: true }],
    [{ ...subject, leaving: false }],
  ]);
});

test('control members are added, replaced under a new identity, removed and listed', async () => {
  expect(await cli.run('members list')).toMatchObject({ status: ExitStatus.Refused, output: '' });
  const first = { member: 'a1', host: 'a1', domain: 'mekelle', address: '10.0.1.1:7400' };
  const members = { kind: 'control-members', members: [first] };
  await cli.run('ticket submit -', JSON.stringify({ number: 9, subjects: [members] }));
  await cli.run('members add a2 adigrat 10.0.2.1:7400');
  expect((await cli.run('members add a2 adigrat 10.0.2.1:7400')).status).toBe(ExitStatus.Refused);
  await cli.run('members add a2 adigrat 10.0.2.1:7400 --member a2-new');
  expect((await cli.run('members list')).output).toMatchInlineSnapshot(`
    "HOST  MEMBER  DOMAIN   ADDRESS
    a1    a1      mekelle  10.0.1.1:7400
    a2    a2-new  adigrat  10.0.2.1:7400
    "
  `);
  expect((await cli.run('members remove a1')).status).toBe(ExitStatus.Done);
  expect((await cli.run('members remove a1')).errors).toContain('"a1" is not a control member');
  expect(cli.control.submitted.at(-1)?.subjects).toMatchObject([
    { members: [{ member: 'a2-new' }] },
  ]);
});
