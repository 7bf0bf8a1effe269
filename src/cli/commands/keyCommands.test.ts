import { errAsync } from 'neverthrow';
import { expect, test } from 'vitest';
import { ACCOUNT, useCliFixture } from '../../../tests/support/cliFixture.js';
import { MemoryControlClient } from '../../../tests/support/memoryControlClient.js';
import { createFault, Diagnostics, Execution } from '../../common/diagnostics/index.js';
import { toTicketNumber } from '../../common/ids/index.js';
import { createKeyVerifier } from '../../common/scram.js';
import type { Ticket } from '../../decisions/tickets/index.js';
import { ExitStatus } from '../exitStatus.js';

const cli = useCliFixture();

test('a key is issued: its verifier is submitted, the key itself is printed and never sent', async () => {
  const issued = (await cli.runJson('key issue mill-7 --id clerk')) as { key: string };
  const key = issued.key;
  expect(issued).toMatchObject({ account: 'mill-7', keyId: 'clerk', number: 9 });
  expect(cli.control.submitted).toEqual([
    {
      number: 9,
      subjects: [
        {
          ...ACCOUNT,
          keys: [...ACCOUNT.keys, { id: 'clerk', ...createKeyVerifier(key, ACCOUNT.salt, 4096) }],
        },
      ],
    },
  ]);
  expect(JSON.stringify(cli.control.submitted)).not.toContain(key);
  const twice = await cli.run('key issue mill-7 --id clerk');
  expect(twice).toMatchObject({ status: ExitStatus.Refused, output: '' });
});

test('a key is withdrawn; an unknown key or account is refused', async () => {
  expect((await cli.run('key withdraw mill-7 phone')).output).toBe(
    'Key "phone" of account "mill-7" is withdrawn by ticket 9.\n',
  );
  expect(cli.control.submitted[0]?.subjects).toEqual([{ ...ACCOUNT, keys: [] }]);
  expect((await cli.run('key withdraw mill-7 phone')).errors).toContain('has no key "phone"');
  expect(await cli.run('key withdraw mill-8 phone')).toMatchObject({
    status: ExitStatus.Refused,
    errors: 'FP7004: No ticket is in force on account/mill-8. (step key.build; not run)\n',
  });
});

test('a key command that lost a race is built again on what won; with a number it is not', async () => {
  const winner = { ...ACCOUNT, rate: 70 };
  racing(cli.control, [{ number: toTicketNumber(9), subjects: [winner] }]);
  expect((await cli.run('key withdraw mill-7 phone')).status).toBe(ExitStatus.Done);
  expect(cli.control.submitted.at(-1)).toEqual({ number: 10, subjects: [{ ...winner, keys: [] }] });

  racing(cli.control, [{ number: toTicketNumber(11), subjects: [winner] }]);
  const numbered = await cli.run('key issue mill-7 --id clerk --number 11');
  expect(numbered.status).toBe(ExitStatus.Refused);
  expect(await cli.runJson('ticket in-force account/mill-7')).toMatchObject({ state: winner });
});

test('a race lost again and again is given up', async () => {
  const winners = [9, 10, 11, 12, 13, 14].map((number) => ({
    number: toTicketNumber(number),
    subjects: [{ ...ACCOUNT, rate: number }],
  }));
  racing(cli.control, winners);
  const result = await cli.run('key withdraw mill-7 phone');
  expect(result.status).toBe(ExitStatus.Refused);
  expect(result.errors).toContain('FP7006: Ticket 13 lost the race to another operator 5 times');
});

test('a key whose ticket got no answer is not printed, and the failure says what to do', async () => {
  const submit = cli.control.submitTicket.bind(cli.control);
  const context = { step: 'control.call', execution: Execution.Unknown };
  const fault = createFault(Diagnostics.OutcomeUnknown, {}, context);
  cli.control.submitTicket = (ticket) => submit(ticket).andThen(() => errAsync(fault));
  const result = await cli.run('key issue mill-7 --id clerk --timeout 0.5');
  expect(result).toMatchObject({ status: ExitStatus.Unreachable, output: '' });
  expect(result.errors).toContain('Key "clerk" may be in force although it was not printed');
  expect(result.errors).toContain('Ticket 9: ');
});

/** Lets another operator's tickets in just before each of the next submissions. */
function racing(raced: MemoryControlClient, winners: readonly Ticket[]): void {
  const left = [...winners];
  const submit = MemoryControlClient.prototype.submitTicket.bind(raced);
  raced.submitTicket = (ticket) => {
    const winner = left.shift();
    return (winner === undefined ? submit(ticket) : submit(winner)).andThen(() => submit(ticket));
  };
}
