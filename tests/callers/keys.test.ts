import { afterAll, beforeAll, expect, test, vi } from 'vitest';
import { createAccountSubject } from '../../bench/fleet/index.js';
import { CallerFleet, getError, GROUP } from './callerFleet.js';

const ACCOUNT = { account: 'mill', rate: 100_000, burst: 10_000 };
const SECOND_KEY = 'second-key-of-the-mill';
const HOSTS = ['entry-1', 'entry-2'];
const callers = new CallerFleet();
const lines: string[] = [];

beforeAll(async () => {
  vi.spyOn(process.stdout, 'write').mockImplementation((line) => lines.push(String(line)) > 0);
  vi.spyOn(console, 'error').mockImplementation((line: unknown) => lines.push(String(line)));
  await callers.start();
});
afterAll(async () => {
  await callers.stop();
  vi.restoreAllMocks();
});

function getFirstKey(): string {
  return callers.keys.get('mill') ?? '';
}

function connectWith(host: string, key: string, account = 'mill', database = GROUP) {
  return callers.fleet.connect(host, account, key, database);
}

test('two keys work during a rotation; the withdrawn one ends its callers everywhere', async () => {
  const first = { id: 'first', key: getFirstKey() };
  const second = { id: 'second', key: SECOND_KEY };
  await callers.fleet.submit(createAccountSubject(ACCOUNT, [first, second]));
  await callers.fleet.waitFor(async () => {
    const tried = await Promise.allSettled(HOSTS.map((host) => connectWith(host, SECOND_KEY)));
    const connected = tried.flatMap((each) => (each.status === 'fulfilled' ? [each.value] : []));
    await Promise.all(connected.map((client) => client.end()));
    return connected.length === HOSTS.length;
  });
  const old = await Promise.all(HOSTS.map((host) => connectWith(host, first.key)));
  const fresh = await Promise.all(HOSTS.map((host) => connectWith(host, second.key)));
  const ends = old.map((client) => new Promise((resolve) => client.once('error', resolve)));
  await callers.fleet.submit(createAccountSubject(ACCOUNT, [second]));
  for (const end of await Promise.all(ends)) {
    expect(end).toMatchObject({ code: '28P01', detail: 'not run' });
  }
  for (const host of HOSTS) {
    expect((await getError(connectWith(host, first.key))).code).toBe('28P01');
  }
  for (const client of fresh) {
    expect((await client.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
    await client.end();
  }
});

test('a wrong key and an unknown account are refused alike', async () => {
  const refused = { code: '28P01', detail: 'not run' };
  expect(await getError(connectWith('entry-1', 'wrong'))).toEqual(refused);
  expect(await getError(connectWith('entry-1', 'wrong', 'nobody'))).toEqual(refused);
  const unknown = getError(connectWith('entry-1', SECOND_KEY, 'mill', 'nowhere'));
  expect(await unknown).toEqual({ code: '3D000', detail: 'not run' });
});

test('an open route runs as its account; a closed one only for its accounts', async () => {
  const open = await connectWith('entry-2', '', 'anyone', 'open-ledger');
  expect((await open.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
  const metrics = await callers.fleet.http.get(
    callers.fleet.getDaemon('entry-2').operators,
    '/metrics',
  );
  expect(String(metrics.body)).toContain('account="mill"');
  expect(String(metrics.body)).not.toContain('anyone');
  await open.end();

  const press = await connectWith('entry-1', callers.keys.get('press') ?? '', 'press');
  const ended = new Promise((resolve) => press.once('error', resolve));
  await callers.fleet.submit({ kind: 'route', route: GROUP, group: GROUP, accounts: ['mill'] });
  expect(await ended).toMatchObject({ code: '42501' });
  const refused = getError(connectWith('entry-1', callers.keys.get('press') ?? '', 'press'));
  expect(await refused).toEqual({ code: '42501', detail: 'not run' });
});

test('no key, and nothing made from one, reaches a backend server or a log line', () => {
  const secrets = [getFirstKey(), SECOND_KEY, callers.keys.get('press') ?? ''];
  const { keys } = createAccountSubject(ACCOUNT, [{ id: 'second', key: SECOND_KEY }]) as {
    keys: { storedKey: string; serverKey: string }[];
  };
  const derived = keys.flatMap(({ storedKey, serverKey }) => [storedKey, serverKey]);
  for (const secret of [...secrets, ...derived]) {
    for (const instance of [callers.primary, ...callers.replicas]) {
      expect(instance.countReceived(secret)).toEqual({ count: 0, complete: true });
    }
    expect(lines.filter((line) => line.includes(secret))).toEqual([]);
  }
  for (const instance of [callers.primary, ...callers.replicas]) {
    expect(instance.countReceived('mill').count).toBe(0);
  }
});
