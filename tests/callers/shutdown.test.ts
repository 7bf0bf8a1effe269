import { afterAll, beforeAll, expect, test } from 'vitest';
import { CallerFleet, getError } from './callerFleet.js';
import { expectTruth, startLoad } from './loadLoop.js';

const GRACE_MS = 5000;
const callers = new CallerFleet(3);

beforeAll(() => callers.start());
afterAll(() => callers.stop());

test('an entry daemon under load stops without cutting a request', async () => {
  const { seen, stop } = startLoad(callers, 'entry-2', 10_000);
  const idle = await callers.connect('entry-2');
  const told = new Promise((resolve) => idle.once('error', resolve));
  const slow = await callers.connect('entry-2');
  const open = await callers.connect('entry-2');
  await open.query('BEGIN');
  await open.query("INSERT INTO bookings VALUES (1, 'open')");
  const sleeping = slow.query('SELECT pg_sleep(0.4), 1 AS one');
  await callers.fleet.sleep(200);
  const stopping = callers.fleet.getDaemon('entry-2').daemon.stop(GRACE_MS);
  expect(await told).toMatchObject({ code: '57P01', detail: 'not run' });
  expect((await sleeping).rows).toMatchObject([{ one: 1 }]);
  await open.query("UPDATE bookings SET who = 'ended' WHERE id = 1");
  await open.query('COMMIT');
  await stopping;
  await stop();
  expect(seen.acknowledged.length).toBeGreaterThan(0);
  expectTruth(callers, seen);
  expect(callers.countCommits(1)).toBe(1);
  expect((await getError(callers.connect('entry-2'))).code).toBe('ECONNREFUSED');
});

test('a transaction of a caller whose entry daemon dies is rolled back', async () => {
  const client = await callers.connect('entry-3');
  await client.query('BEGIN');
  await client.query("INSERT INTO bookings VALUES (2, 'dead')");
  await callers.fleet.getDaemon('entry-3').daemon.stop(0);
  const other = await callers.connect('entry-1');
  await other.query("INSERT INTO bookings VALUES (2, 'next')");
  const { rows } = await other.query('SELECT who FROM bookings WHERE id = 2');
  expect(rows).toEqual([{ who: 'next' }]);
});
