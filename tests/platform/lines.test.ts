import { afterAll, beforeAll, expect, test } from 'vitest';
import { createLinePlan, type LinePlan } from '../../bench/lines/linePlan.js';
import { createLineConfiguration } from '../../bench/lines/lineConfiguration.js';
import { LocalLineFleet } from '../../bench/lines/localLineFleet.js';
import { callControl } from '../../standin/lines/index.js';

const ACCOUNTS = { mill: ['key-mill', 'key-mill-2'], press: ['key-press'] };
const LATEST = 'latest-ledger1';
const SESSION = 'session-ledger1';
const BOUNDED = 'bounded-ledger1';

let plan: LinePlan;
let fleet: LocalLineFleet;

beforeAll(async () => {
  plan = await createLinePlan({ controls: 3, entries: 2, groups: 1, network: 81 });
  fleet = new LocalLineFleet(plan);
  await fleet.start({ version: 3, accounts: ACCOUNTS });
});

afterAll(async () => {
  await fleet.stop();
});

test('a session reads what it wrote, through either entry daemon and on every kind of route', async () => {
  for (const [index, database] of [LATEST, SESSION, BOUNDED].entries()) {
    const client = await fleet.connect(database, 'key-mill', index % 2);
    const written = await client.query(`PUT own-${index} one`);
    expect(written.reply).toMatchObject({ error: undefined, status: 'I' });
    const read = await client.query(`FETCH own-${index}`);
    expect(read.reply?.error).toBeUndefined();
    if (database !== BOUNDED) {
      expect(read.reply?.rows).toEqual(['one']);
    }
    client.close();
  }
});

test('every latest read sees every acknowledged write of others', async () => {
  const writer = await fleet.connect(LATEST, 'key-mill', 0);
  const reader = await fleet.connect(LATEST, 'key-press', 1);
  for (let count = 0; count < 30; count += 1) {
    await writer.query(`PUT shared ${count}`);
    const { reply } = await reader.query('FETCH shared');
    expect(reply?.rows).toEqual([String(count)]);
  }
  writer.close();
  reader.close();
});

test('a transaction commits as one, or leaves nothing', async () => {
  const client = await fleet.connect(LATEST, 'key-mill');
  for (const end of ['ROLLBACK', 'COMMIT']) {
    expect((await client.query('BEGIN')).reply?.status).toBe('T');
    await client.query(`PUT first ${end}`);
    await client.query(`PUT second ${end}`);
    expect((await client.query('FETCH first')).reply?.rows).toEqual([end]);
    expect((await client.query(end)).reply).toMatchObject({ error: undefined, status: 'I' });
  }
  expect((await client.query('FETCH second')).reply?.rows).toEqual(['COMMIT']);
  const { log } = fleet.getGroup().primary ?? { log: [] };
  const both = log.filter(({ changes }) => changes.some(([item]) => item === 'first'));
  expect(both.map(({ changes }) => changes.length)).toEqual([2]);
  client.close();
});

test('a transaction that only reads commits, also when it is empty', async () => {
  const client = await fleet.connect(SESSION, 'key-mill');
  await client.query('BEGIN FETCH');
  expect((await client.query('COMMIT')).reply).toMatchObject({ error: undefined, status: 'I' });
  await client.query('BEGIN FETCH');
  await client.query('FETCH first');
  expect((await client.query('COMMIT')).reply).toMatchObject({ error: undefined, status: 'I' });
  client.close();
});

test('after a failure inside a transaction only its end is accepted', async () => {
  const client = await fleet.connect(LATEST, 'key-mill');
  await client.query('BEGIN');
  expect((await client.query('NONSENSE')).reply).toMatchObject({ error: 'MALFORMED', status: 'E' });
  expect((await client.query('FETCH first')).reply).toMatchObject({
    error: 'MALFORMED',
    status: 'E',
  });
  expect((await client.query('COMMIT')).reply).toMatchObject({ error: 'ABORTED', status: 'I' });
  client.close();
});

test('sessions keep values and prepared statements apart that have the same names', async () => {
  const clients = await Promise.all([0, 1].map(() => fleet.connect(LATEST, 'key-mill')));
  const [reader, writer] = clients;
  await reader?.query('SET zone north');
  await reader?.query('PREPARE s FETCH shape');
  await writer?.query('PREPARE s PUT shape');
  expect((await writer?.query('EXECUTE s prepared yes'))?.reply?.error).toBeUndefined();
  expect((await reader?.query('EXECUTE s prepared'))?.reply?.rows).toEqual(['yes']);
  await reader?.query('DEALLOC s');
  expect((await reader?.query('EXECUTE s prepared'))?.reply?.error).toBe('NOSTMT');
  clients.forEach((client) => client.close());
});

test('unknown databases and keys are refused, open routes need none', async () => {
  const unknown = await fleet.connect('nowhere', 'key-mill');
  const wrong = await fleet.connect(LATEST, 'no-key');
  const open = await fleet.connect('open-ledger1', 'any');
  expect([unknown.lastError, wrong.lastError, open.lastError]).toEqual([
    'NODB',
    'NOAUTH',
    undefined,
  ]);
  expect((await open.query('FETCH first')).reply?.error).toBeUndefined();
  open.close();
});

test('a configuration is read back as it was sent; older and invalid ones change nothing', async () => {
  const [control = '', other = ''] = fleet.controls;
  const call = (method: string, path: string, body?: string) =>
    callControl(method === 'GET' ? other : control, method, `/filbertpoint/Config.${path}`, body);
  const source = createLineConfiguration(plan, { version: 3, accounts: ACCOUNTS });
  expect(await call('GET', 'Fetch')).toEqual({ status: 200, body: source });
  const older = createLineConfiguration(plan, { version: 2, accounts: {} });
  expect((await call('POST', 'Replace', older)).status).toBe(200);
  const same = createLineConfiguration(plan, { version: 3, accounts: {} });
  expect((await call('POST', 'Replace', same)).status).toBe(200);
  const shared = { mill: ['k'], press: ['k'] };
  const invalid = createLineConfiguration(plan, { version: 9, accounts: shared });
  expect((await call('POST', 'Replace', invalid)).status).toBe(400);
  expect((await call('POST', 'Replace', source.slice(0, 200))).status).toBe(400);
  expect((await call('GET', 'Fetch')).body).toBe(source);
});

test('a withdrawn key stops working on a caller that is connected', async () => {
  const client = await fleet.connect(LATEST, 'key-mill-2');
  expect((await client.query('FETCH first')).reply?.error).toBeUndefined();
  await fleet.configure({ version: 7, accounts: { ...ACCOUNTS, mill: ['key-mill'] } });
  await fleet.waitFor(async () => (await client.query('FETCH first')).reply?.error === 'NOAUTH');
  client.close();
});

test('noise ends one connection alone', async () => {
  const client = await fleet.connect(LATEST, 'key-mill');
  const noisy = await fleet.connect(LATEST, 'key-mill');
  const { reply } = await noisy.query(`PUT long ${'x'.repeat(1_100_000)}`);
  expect(reply).toBeUndefined();
  expect((await client.query('FETCH first')).reply?.error).toBeUndefined();
  client.close();
});

test('another instance is promoted after the primary is lost, and nothing acknowledged is', async () => {
  const client = await fleet.connect(LATEST, 'key-mill');
  await client.query('PUT kept before');
  const lost = fleet.getGroup().primary;
  await lost?.stop();
  await fleet.waitFor(async () => {
    const { reply } = await client.query('PUT after yes');
    return reply !== undefined && reply.error === undefined;
  });
  expect(fleet.getGroup().primary?.id).not.toBe(lost?.id);
  expect((await client.query('FETCH kept')).reply?.rows).toEqual(['before']);
  expect(fleet.getGroup().lostCommits).toBe(0);
  await lost?.start();
  client.close();
});

test('a failure domain that is out holds no primary, and is used again when it is back', async () => {
  const [control = ''] = fleet.controls;
  const domain = fleet.getGroup().primary?.domain ?? '';
  const order = (name: string) =>
    callControl(control, 'POST', `/filbertpoint/Drain.${name}/${domain}`);
  expect((await order('Begin')).status).toBe(200);
  await fleet.waitFor(() => fleet.getGroup().primary?.domain !== domain);
  expect((await order('Finish')).status).toBe(200);
  expect((await order('Finish')).status).toBe(200);
  const client = await fleet.connect(LATEST, 'key-mill');
  await fleet.waitFor(async () => (await client.query('PUT moved yes')).reply?.error === undefined);
  client.close();
});

test('a stopping entry daemon ends idle sessions and cuts no transaction', async () => {
  const idle = await fleet.connect(LATEST, 'key-mill', 1);
  const open = await fleet.connect(LATEST, 'key-mill', 1);
  await open.query('BEGIN');
  await open.query('PUT last word');
  const stopped = fleet.stopDaemon('edge-2');
  await fleet.waitFor(() => idle.isClosed);
  expect((await open.query('COMMIT')).reply).toMatchObject({ error: undefined, status: 'I' });
  await fleet.waitFor(() => open.isClosed);
  await stopped;
});
