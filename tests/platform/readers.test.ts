import { afterAll, beforeAll, expect, test } from 'vitest';
import { STALENESS_MS } from '../../bench/lines/lineConfiguration.js';
import { createLinePlan } from '../../bench/lines/linePlan.js';
import { LocalLineFleet } from '../../bench/lines/localLineFleet.js';

const KEY = 'key-mill';
const SESSION = 'session-ledger1';
const BOUNDED = 'bounded-ledger1';
const READER_LINE = /host=(\S+) code=FP3022 message="This daemon now reads replica \\"(\S+)\\"/;

let fleet: LocalLineFleet;

beforeAll(async () => {
  const size = { controls: 3, entries: 6, groups: 1, network: 87, linkMbps: 2 };
  fleet = new LocalLineFleet(await createLinePlan(size), 1, 30);
  await fleet.start({ version: 1, accounts: { mill: [KEY] }, rate: 5000, burst: 5000 });
  await fleet.waitFor(() => getReaders().size === 2);
});

afterAll(async () => {
  await fleet.stop();
});

/** The hosts that read replicas, by instance, as the logs say. */
function getReaders(): ReadonlyMap<string, string> {
  const readers = new Map<string, string>();
  for (const line of fleet.lines) {
    const [, host = '', instance = ''] = READER_LINE.exec(line) ?? [];
    if (host !== '') {
      readers.set(instance, host);
    }
  }
  return readers;
}

test('a session sees its own writes over readers of replicas that lag', async () => {
  const client = await fleet.connect(SESSION, KEY, 0);
  let seen = 0;
  for (let count = 0; count < 20; count += 1) {
    const written = await client.query(`PUT own ${count}`);
    const { reply } = await client.query('FETCH own');
    if (written.reply?.error === undefined && reply?.error === undefined) {
      expect(reply?.rows).toEqual([String(count)]);
      seen += 1;
    }
  }
  expect(seen).toBeGreaterThan(0);
  client.close();
});

test('a bounded read sees what was acknowledged its bound before, though a replica receives nothing', async () => {
  const writer = await fleet.connect(SESSION, KEY, 0);
  const replicas = fleet.getGroup().instances.filter(({ role }) => role === 'replica');
  const [deaf] = replicas;
  await writer.query('PUT aged before');
  if (deaf !== undefined) {
    deaf.isDeaf = true;
  }
  await fleet.waitFor(
    async () => (await writer.query('PUT aged after')).reply?.error === undefined,
  );
  await fleet.sleep(STALENESS_MS);
  const values = new Set<string>();
  for (const entry of fleet.entries.keys()) {
    const client = await fleet.connect(BOUNDED, KEY, entry);
    for (let count = 0; count < 10; count += 1) {
      const { reply } = await client.query('FETCH aged');
      if (reply !== undefined && reply.error === undefined) {
        values.add(reply.rows[0] ?? '');
      }
    }
    client.close();
  }
  expect([...values]).toEqual(['after']);
  if (deaf !== undefined) {
    deaf.isDeaf = false;
  }
  await writer.query('PUT aged caught-up');
  writer.close();
});

test('a reader that stops answers what it runs, and callers elsewhere see no break', async () => {
  const [stopped = ''] = [...getReaders().values()];
  const entries = [...fleet.entries.entries()].filter(([, { node }]) => node !== stopped);
  const broken: string[] = [];
  let isOver = false;
  const read = async (entry: number): Promise<void> => {
    const client = await fleet.connect(BOUNDED, KEY, entry);
    while (!isOver) {
      for (const statement of ['FETCH ready', 'BEGIN FETCH', 'FETCH ready', 'COMMIT']) {
        const { reply } = await client.query(statement);
        // Refusals are promises; a broken connection or an unknown outcome is none.
        if (reply === undefined || reply.error === 'UNKNOWN') {
          broken.push(`${statement}: ${reply?.error ?? 'no answer'}`);
        }
      }
      await fleet.sleep(5);
    }
    client.close();
  };
  const callers = entries.map(([entry]) => read(entry));
  await fleet.sleep(300);
  await fleet.stopDaemon(stopped);
  await fleet.sleep(300);
  isOver = true;
  await Promise.all(callers);
  expect(broken).toEqual([]);
  await fleet.waitFor(() => [...getReaders().values()].every((host) => host !== stopped));
});
