import { afterAll, beforeAll, expect, test } from 'vitest';
import type pg from 'pg';
import { CallerFleet, getError } from './callerFleet.js';

const GRACE_MS = 5000;
const CALLERS = 8;
const callers = new CallerFleet(3);

beforeAll(() => callers.start());
afterAll(() => callers.stop());

/** What a load loop saw. */
interface Seen {
  readonly acknowledged: number[];
  readonly notRun: number[];
  readonly wrong: string[];
  stopped: boolean;
}

/** Writes and reads back over one connection after another until it is stopped. */
async function load(host: string, base: number, seen: Seen): Promise<void> {
  let client: pg.Client | undefined;
  for (let id = base; !seen.stopped && id < base + 1000; id += 1) {
    try {
      client ??= await callers.connect(host);
      await client.query('INSERT INTO bookings VALUES ($1, $2)', [id, host]);
      seen.acknowledged.push(id);
      const { rows } = await client.query('SELECT who FROM bookings WHERE id = $1', [id]);
      if (JSON.stringify(rows) !== JSON.stringify([{ who: host }])) {
        seen.wrong.push(`${id}: ${JSON.stringify(rows)}`);
      }
    } catch (error) {
      const { detail, code, message } = error as {
        detail?: string;
        code?: string;
        message: string;
      };
      const isTold = detail?.startsWith('not run') === true || code === 'ECONNREFUSED';
      (isTold ? seen.notRun : seen.wrong).push(
        (isTold ? id : `${id}: ${code} ${message}`) as never,
      );
      client = undefined;
      if (code === 'ECONNREFUSED' || code === '57P01') {
        return;
      }
    }
  }
}

function startLoad(host: string, base: number) {
  const seen: Seen = { acknowledged: [], notRun: [], wrong: [], stopped: false };
  const loops = Array.from({ length: CALLERS }, (_unused, index) =>
    load(host, base + index * 1000, seen),
  );
  return {
    seen,
    stop: () => {
      seen.stopped = true;
      return Promise.all(loops);
    },
  };
}

function expectTruth({ acknowledged, notRun, wrong }: Seen): void {
  expect(wrong).toEqual([]);
  expect(acknowledged.filter((id) => callers.countCommits(id) !== 1)).toEqual([]);
  expect(notRun.filter((id) => callers.countCommits(id) !== 0)).toEqual([]);
}

test('an entry daemon under load stops without cutting a request', async () => {
  const { seen, stop } = startLoad('entry-2', 10_000);
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
  expectTruth(seen);
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

test('a holder under load hands its group over without cutting a request', async () => {
  const holder = (await callers.getHolder()) ?? '';
  expect(holder).toBe('control-1');
  const { seen, stop } = startLoad('entry-1', 30_000);
  await callers.fleet.sleep(200);
  await callers.fleet.submit({ kind: 'failure-domain', domain: 'mekelle', inService: false });
  await callers.fleet.sleep(600);
  const before = seen.acknowledged.length;
  await callers.fleet.sleep(200);
  await stop();
  expect(seen.acknowledged.length).toBeGreaterThan(before);
  expect(seen.wrong).toEqual([]);
});
