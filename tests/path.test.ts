import { afterAll, beforeAll, expect, test } from 'vitest';
import { createFleetPlan, LocalFleet } from '../bench/fleet/index.js';

const fleet = new LocalFleet(
  createFleetPlan({ controls: 1, entries: 2, groups: 1 }),
  process.env.FLEET_LOG === undefined ? 'error' : 'debug',
);
let keys: ReadonlyMap<string, string>;

beforeAll(async () => {
  await fleet.start();
  keys = await fleet.openAccounts([{ account: 'mill', rate: 1000, burst: 100 }]);
  await fleet.waitForGroup('ledger-1');
});

afterAll(() => fleet.stop());

test('a statement goes through two daemons to a backend server and back', async () => {
  const key = keys.get('mill') ?? '';
  for (const host of ['entry-1', 'entry-2']) {
    const client = await fleet.connect(host, 'mill', key, 'ledger-1');
    await client.query('CREATE TABLE IF NOT EXISTS bookings (id int primary key, who text)');
    const id = host === 'entry-1' ? 1 : 2;
    await client.query('INSERT INTO bookings VALUES ($1, $2)', [id, host]);
    const { rows } = await client.query('SELECT who FROM bookings WHERE id = $1', [id]);
    expect(rows).toEqual([{ who: host }]);
    await client.end();
  }
});
