import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { MemoryControlClient } from '../../tests/support/memoryControlClient.js';
import { MemoryTerminal } from '../../tests/support/memoryTerminal.js';
import { OperatorHost } from '../../tests/support/operatorHost.js';
import { createFault, Diagnostics } from '../common/diagnostics/index.js';
import { toAccountId, toTicketNumber } from '../common/ids/index.js';
import { createKeyVerifier } from '../common/scram.js';
import { SystemTimerService } from '../common/timer/index.js';
import { BearerTokens } from '../daemon/operators/index.js';
import type { SubjectReading } from '../decisions/control/index.js';
import { SubjectKind, type AccountState, type Ticket } from '../decisions/tickets/index.js';
import { ExitStatus } from './exitStatus.js';
import { runProgram } from './program.js';

const ACCOUNT: AccountState = {
  kind: SubjectKind.Account,
  account: toAccountId('mill-7'),
  rate: 50,
  burst: 100,
  salt: 'c2FsdA==',
  iterations: 4096,
  keys: [{ id: 'phone', storedKey: 'AAAA', serverKey: 'BBBB' }],
  maximumOpenTransactions: 4,
};

let control: MemoryControlClient;
let host: OperatorHost;
let folder: string;

beforeEach(async () => {
  control = new MemoryControlClient();
  host = await new OperatorHost(control, { operatorTokens: new BearerTokens(['secret']) }).start();
  folder = mkdtempSync(join(tmpdir(), 'filbertpoint-cli-'));
  writeFileSync(join(folder, 'token'), 'secret\n');
  control.submitTicket({ number: toTicketNumber(8), subjects: [ACCOUNT] });
  control.submitted.length = 0;
});

afterEach(async () => {
  await host.close();
  rmSync(folder, { recursive: true });
});

interface Run {
  readonly status: ExitStatus;
  readonly output: string;
  readonly errors: string;
}

async function run(line: string, input = '', url = host.url): Promise<Run> {
  const environment = {
    FILBERTPOINT_URL: url,
    FILBERTPOINT_TOKEN_FILE: join(folder, 'token'),
  };
  const terminal = new MemoryTerminal(environment, input);
  const args = line.split(' ').filter((word) => word !== '');
  const status = await runProgram(args, terminal, new SystemTimerService());
  return { status, output: terminal.output, errors: terminal.errors };
}

function readJson(result: Run): { key?: unknown } {
  return JSON.parse(result.output) as { key?: unknown };
}

const TOML_TICKET = `
number = 9
[[subjects]]
kind = "failure-domain"
domain = "adigrat"
inService = false
`;

test('a ticket in TOML or JSON is submitted, resent, shown and in force', async () => {
  expect(await run('ticket submit -', TOML_TICKET)).toEqual({
    status: ExitStatus.Done,
    output: 'Ticket 9 is accepted.\n',
    errors: '',
  });
  const file = join(folder, 'ticket.json');
  writeFileSync(file, JSON.stringify(control.submitted[0]));
  expect((await run(`ticket submit ${file}`)).status).toBe(ExitStatus.Done);
  expect(readJson(await run('ticket show 9 --json'))).toEqual(control.submitted[0]);
  expect((await run('ticket in-force')).output).toMatchInlineSnapshot(`
    "SUBJECT                 TICKET  EVERYWHERE  MISSING ON
    account/mill-7          8       yes         -
    failure-domain/adigrat  9       yes         -
    "
  `);
  expect((await run('ticket in-force failure-domain/adigrat')).output).toMatchInlineSnapshot(`
    "SUBJECT                 TICKET  EVERYWHERE  MISSING ON
    failure-domain/adigrat  9       yes         -

    {
      "kind": "failure-domain",
      "domain": "adigrat",
      "inService": false
    }
    "
  `);
});

test('a ticket without a number takes the next after the highest in force', async () => {
  const text = TOML_TICKET.replace('number = 9', '');
  expect((await run('ticket submit -', text)).output).toBe('Ticket 9 is accepted.\n');
  expect((await run('ticket submit - --number 30', text)).output).toBe('Ticket 30 is accepted.\n');
});

test('a refused ticket ends with status 1 and says why', async () => {
  const refused = await run('ticket submit -', TOML_TICKET.replace('9', '8'));
  expect({ ...refused, errors: refused.errors.replace(host.url, 'URL') }).toMatchInlineSnapshot(`
    {
      "errors": "FP6000: The ticket was refused: Number 8 is not above the number in force. (step ticket.submit, peer URL; not run)
    ",
      "output": "",
      "status": 1,
    }
  `);
  const json = await run('ticket submit - --json', TOML_TICKET.replace('9', '8'));
  expect(json.status).toBe(ExitStatus.Refused);
  expect(readJson(json)).toMatchObject({ error: { code: 6000, detail: 'not run' } });
});

test('a key is issued: its verifier is submitted, the key itself is printed and never sent', async () => {
  const issued = readJson(await run('key issue mill-7 --id clerk --json'));
  const key = issued.key as string;
  expect(issued).toMatchObject({ account: 'mill-7', keyId: 'clerk', number: 9 });
  expect(control.submitted).toEqual([
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
  expect(JSON.stringify(control.submitted)).not.toContain(key);
  const twice = await run('key issue mill-7 --id clerk');
  expect(twice).toMatchObject({ status: ExitStatus.Refused, output: '' });
});

test('a key is withdrawn; an unknown key or account is refused', async () => {
  expect((await run('key withdraw mill-7 phone')).output).toBe(
    'Key "phone" of account "mill-7" is withdrawn by ticket 9.\n',
  );
  expect(control.submitted[0]?.subjects).toEqual([{ ...ACCOUNT, keys: [] }]);
  expect((await run('key withdraw mill-7 phone')).errors).toContain('has no key "phone"');
  expect(await run('key withdraw mill-8 phone')).toMatchObject({
    status: ExitStatus.Refused,
    errors: 'FP7004: No ticket is in force on account/mill-8. (step key.build; not run)\n',
  });
});

test('a key command that lost a race is built again on what won; with a number it is not', async () => {
  const winner = { ...ACCOUNT, rate: 70 };
  racing(control, [{ number: toTicketNumber(9), subjects: [winner] }]);
  expect((await run('key withdraw mill-7 phone')).status).toBe(ExitStatus.Done);
  expect(control.submitted.at(-1)).toEqual({ number: 10, subjects: [{ ...winner, keys: [] }] });

  racing(control, [{ number: toTicketNumber(11), subjects: [winner] }]);
  const numbered = await run('key issue mill-7 --id clerk --number 11');
  expect(numbered.status).toBe(ExitStatus.Refused);
  expect((await readAccount()).state).toEqual(winner);
});

test('a race lost again and again is given up', async () => {
  const winners = [9, 10, 11, 12, 13, 14].map((number) => ({
    number: toTicketNumber(number),
    subjects: [{ ...ACCOUNT, rate: number }],
  }));
  racing(control, winners);
  const result = await run('key withdraw mill-7 phone');
  expect(result.status).toBe(ExitStatus.Refused);
  expect(result.errors).toContain('FP7006: Ticket 13 lost the race to another operator 5 times');
});

test('the first address that answers is used; none is status 3', async () => {
  const closed = await getClosedUrl();
  expect((await run('ticket in-force', '', `${closed},${host.url}`)).status).toBe(ExitStatus.Done);
  const result = await run('ticket in-force', '', closed);
  expect(result.status).toBe(ExitStatus.Unreachable);
  expect(result.errors).toContain('FP7002');
});

test('a lost answer is asked for by sending the same ticket again', async () => {
  const lossy = createServer((request) => {
    request.on('end', () => request.socket.destroy()).resume();
    void fetch(`${host.url}/tickets`, {
      method: 'POST',
      headers: { authorization: 'Bearer secret', 'content-type': 'application/json' },
      body: JSON.stringify(TICKET_OF_TOML),
    });
  });
  const url = await listen(lossy);
  expect(await run('ticket submit -', TOML_TICKET, `${url},${host.url}`)).toMatchObject({
    status: ExitStatus.Done,
  });
  const unknown = await run('ticket submit - --timeout 0.3 --json', TOML_TICKET, url);
  expect(unknown.status).toBe(ExitStatus.Unreachable);
  expect(readJson(unknown)).toMatchObject({ error: { code: 7002, detail: 'unknown' } });
  lossy.close();
});

test('without a control leader the program tries again within its time', async () => {
  const context = { step: 'control.submit', retryAfterMs: 10 };
  control.fault = createFault(Diagnostics.LeaseExpired, {}, context);
  const failed = await run('ticket in-force --timeout 0.5');
  expect(failed.status).toBe(ExitStatus.Unreachable);
  expect(failed.errors).toContain('This daemon holds no lease.');
});

test.each([
  '',
  'ticket',
  'ticket submit',
  'ticket show 9 --nonsense',
  'tickets',
  'ticket submit - --number 0',
  'ticket submit /nonexistent/file',
  'ticket submit - --url ftp://a',
])('wrong usage ends with status 2 and one clear line: %s', async (line) => {
  const result = await run(line, '{ "number": ');
  expect(result.status).toBe(ExitStatus.BadInput);
  expect(result.output).toBe('');
  expect(result.errors).toMatchSnapshot();
});

test.each(['--help', 'ticket --help', 'key issue --help'])('help: %s', async (line) => {
  const result = await run(line);
  expect(result.status).toBe(ExitStatus.Done);
  expect(result.output).toMatchSnapshot();
});

const TICKET_OF_TOML = {
  number: 9,
  subjects: [{ kind: 'failure-domain', domain: 'adigrat', inService: false }],
};

/** Lets another operator's tickets in just before each of the next submissions. */
function racing(raced: MemoryControlClient, winners: readonly Ticket[]): void {
  const left = [...winners];
  const submit = MemoryControlClient.prototype.submitTicket.bind(raced);
  raced.submitTicket = (ticket) => {
    const winner = left.shift();
    return (winner === undefined ? submit(ticket) : submit(winner)).andThen(() => submit(ticket));
  };
}

async function readAccount(): Promise<SubjectReading> {
  return readJson(await run('ticket in-force account/mill-7 --json')) as unknown as SubjectReading;
}

async function getClosedUrl(): Promise<string> {
  const server = createServer();
  const url = await listen(server);
  await new Promise((resolve) => server.close(resolve));
  return url;
}

async function listen(server: ReturnType<typeof createServer>): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}
