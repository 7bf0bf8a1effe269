import { afterEach, beforeEach, expect, test } from 'vitest';
import { createAccountSubject } from '../../bench/fleet/index.js';
import { CallerFleet } from './callerFleet.js';

const GRACE_MS = 1000;
const SLOW_WRITE = "INSERT INTO bookings VALUES (1, 'cut'); SELECT pg_sleep(9)";
const SLOW_READ = 'SELECT pg_sleep(9)';

let callers: CallerFleet;

beforeEach(async () => {
  callers = new CallerFleet(2);
  await callers.start();
});
afterEach(() => callers.stop());

/** What a caller is told whose statement still runs when its connection ends. */
async function cut(statements: readonly string[], end: () => Promise<unknown>): Promise<unknown> {
  const client = await callers.connect('entry-2');
  client.on('error', () => undefined);
  for (const statement of statements.slice(0, -1)) {
    await client.query(statement);
  }
  const running = client.query(statements.at(-1) ?? '').catch((error: unknown) => error);
  await callers.fleet.sleep(200);
  await end();
  return running;
}

function stop(): Promise<void> {
  return callers.fleet.getDaemon('entry-2').daemon.stop(GRACE_MS);
}

function withdrawKey(): Promise<unknown> {
  const account = { account: 'mill', rate: 100_000, burst: 10_000 };
  return callers.fleet.submit(createAccountSubject(account, [{ id: 'other', key: 'other-key' }]));
}

test('a write that is cut when its daemon stops is not said to be not run', async () => {
  expect(await cut([SLOW_WRITE], stop)).toMatchObject({ detail: 'unknown' });
});

test('a write that is cut when its key is withdrawn is not said to be not run', async () => {
  const told = await cut([SLOW_WRITE], withdrawKey);
  expect(told).toMatchObject({ code: '28P01', detail: 'unknown' });
});

test('a statement cut inside a transaction, which is rolled back, is still said to be not run', async () => {
  const told = await cut(['BEGIN', SLOW_READ], stop);
  expect(told).toMatchObject({ detail: 'not run' });
});
