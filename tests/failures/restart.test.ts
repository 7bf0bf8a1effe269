import { afterAll, beforeAll, expect, test } from 'vitest';
import { createAccountSubject, createFleetPlan, LocalFleet } from '../../bench/fleet/index.js';

const GROUP = 'ledger-1';
const TICKETS = 300;
const fleet = new LocalFleet(createFleetPlan({ controls: 3, entries: 2, groups: 1 }));
let key = '';

beforeAll(async () => {
  await fleet.start();
  const keys = await fleet.openAccounts([{ account: 'mill', rate: 1000, burst: 100 }]);
  key = keys.get('mill') ?? '';
  await fleet.waitForGroup(GROUP);
});

afterAll(() => fleet.stop());

interface Reading {
  readonly subject: string;
  readonly ticket: number;
  readonly state: unknown;
}

async function readInForce(): Promise<unknown> {
  const { body } = await fleet.http.get(fleet.operators, '/in-force');
  const { subjects } = body as { readonly subjects: readonly Reading[] };
  return subjects
    .map(({ subject, ticket, state }) => ({ subject, ticket, state }))
    .sort((left, right) => left.subject.localeCompare(right.subject));
}

test('hundreds of tickets outlive a restart of everything, and nothing undone comes back', async () => {
  const rotated = 'the key that replaces the first';
  const account = { account: 'mill', rate: 1000, burst: 100 };
  await fleet.submit(createAccountSubject(account, [{ id: 'second', key: rotated }]));
  let last = 0;
  for (let count = 0; count < TICKETS; count += 1) {
    const name = `guest-${count % 20}`;
    const state = { account: name, rate: 1 + count, burst: 10 };
    last = await fleet.submit(createAccountSubject(state, []));
  }
  const before = await readInForce();
  await fleet.restartDaemons();
  expect(await readInForce()).toEqual(before);
  expect(JSON.stringify(before)).toContain(`"ticket":${last}`);
  await fleet.waitForGroup(GROUP);
  await expect(fleet.connect('entry-1', 'mill', key, GROUP)).rejects.toMatchObject({
    code: '28P01',
  });
  const client = await fleet.connect('entry-2', 'mill', rotated, GROUP);
  await client.query('CREATE TABLE bookings (id int primary key)');
  await client.query('INSERT INTO bookings VALUES (1)');
  const lower = await fleet.http.post(fleet.operators, '/tickets', {
    number: last - 1,
    subjects: [createAccountSubject({ account: 'mill', rate: 1, burst: 1 }, [])],
  });
  expect(lower.status).toBe(409);
});

test('requests of a daemon without a lease wait for one', async () => {
  const caller = await fleet.connect('entry-2', 'mill', 'the key that replaces the first', GROUP);
  const { operators } = fleet.getDaemon('entry-2');
  let waiting: Promise<unknown> = Promise.resolve();
  await fleet.restartDaemons(
    (host) => host.startsWith('control'),
    async () => {
      await fleet.waitFor(async () => (await fleet.http.get(operators, '/readyz')).status === 503);
      waiting = caller.query('INSERT INTO bookings VALUES (2)');
    },
  );
  await waiting;
  const { rows } = await caller.query('SELECT id FROM bookings WHERE id = 2');
  expect(rows).toHaveLength(1);
});
