import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, test } from 'vitest';
import { useCliFixture } from '../../tests/support/cliFixture.js';
import { createFault, Diagnostics } from '../common/diagnostics/index.js';
import { ExitStatus } from './exitStatus.js';

const TICKET = {
  number: 9,
  subjects: [{ kind: 'failure-domain', domain: 'adigrat', inService: false }],
};

const cli = useCliFixture();

test('the completion script and completions are printed', async () => {
  expect((await cli.run('completion')).output).toContain('--get-yargs-completions');
  const completions = await cli.run('--get-yargs-completions filbertpoint key w');
  expect(completions.output.split('\n')).toContain('withdraw');
});

test('the first address that answers is used; none is status 3', async () => {
  const closed = await getClosedUrl();
  expect((await cli.run('ticket in-force', '', `${closed},${cli.url}`)).status).toBe(
    ExitStatus.Done,
  );
  const repeated = `ticket show --url ${closed} --url ${cli.url} 8`;
  expect((await cli.run(repeated)).status).toBe(ExitStatus.Done);
  const result = await cli.run('ticket in-force', '', closed);
  expect(result.status).toBe(ExitStatus.Unreachable);
  expect(result.errors).toContain('FP7002');
});

test('a lost answer is asked for by sending the same ticket again', async () => {
  const lossy = createServer((request) => {
    request.on('end', () => request.socket.destroy()).resume();
    void fetch(`${cli.url}/tickets`, {
      method: 'POST',
      headers: { authorization: 'Bearer secret', 'content-type': 'application/json' },
      body: JSON.stringify(TICKET),
    });
  });
  const url = await listen(lossy);
  expect(
    await cli.run('ticket submit -', JSON.stringify(TICKET), `${url},${cli.url}`),
  ).toMatchObject({
    status: ExitStatus.Done,
  });
  const unknown = await cli.run(
    'ticket submit - --timeout 0.3 --json',
    JSON.stringify(TICKET),
    url,
  );
  expect(unknown.status).toBe(ExitStatus.Unreachable);
  expect(JSON.parse(unknown.output)).toMatchObject({ error: { code: 7002, detail: 'unknown' } });
  lossy.close();
});

test('without a control leader the program tries again within its time', async () => {
  const context = { step: 'cli.control.submit', retryAfterMs: 10 };
  const fault = createFault(Diagnostics.NotControlLeader, { leader: 'a2' }, context);
  cli.control.fault = fault;
  const failed = await cli.run('ticket in-force --timeout 0.5');
  expect(failed.status).toBe(ExitStatus.Unreachable);
  expect(failed.errors).toContain('the leader is "a2"');
  cli.control.faultsLeft = 2;
  cli.control.requests = 0;
  expect((await cli.run('ticket in-force --timeout 30')).status).toBe(ExitStatus.Done);
  expect(cli.control.requests).toBe(3);
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
  'status --timeout 0',
  'status --timeout soon',
  '-- nothing',
])('wrong usage ends with status 2 and one clear line: %s', async (line) => {
  const result = await cli.run(line, '{ "number": ');
  expect(result.status).toBe(ExitStatus.BadInput);
  expect(result.output).toBe('');
  expect(result.errors).toMatchSnapshot();
});

test.each(['--help', 'ticket --help', 'key issue --help'])('help: %s', async (line) => {
  const result = await cli.run(line);
  expect(result.status).toBe(ExitStatus.Done);
  expect(result.output).toMatchSnapshot();
});

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
