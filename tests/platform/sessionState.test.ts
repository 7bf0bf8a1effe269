import { afterAll, beforeAll, expect, test } from 'vitest';
import { createLinePlan } from '../../bench/lines/linePlan.js';
import { LocalLineFleet } from '../../bench/lines/localLineFleet.js';

const KEY = 'key-mill';
const DATABASE = 'latest-ledger1';
/** Almost the longest message that the protocol allows. */
const LARGE = 'x'.repeat(1_048_000);

let fleet: LocalLineFleet;

beforeAll(async () => {
  fleet = new LocalLineFleet(
    await createLinePlan({ controls: 3, entries: 1, groups: 1, network: 100 }),
  );
  await fleet.start({ version: 3, accounts: { mill: [KEY] } });
});

afterAll(async () => {
  await fleet.stop();
});

// Guards against one caller's session values or statements that end the process of its host (Fault).
test.each([
  ['session values', (index: number) => `SET value${index} ${LARGE}`],
  ['prepared statements', (index: number) => `PREPARE statement${index} PUT ${LARGE}`],
])('a session keeps a bounded amount of %s', async (_, createText) => {
  const client = await fleet.connect(DATABASE, KEY);
  for (const index of [1, 2]) {
    expect((await client.query(createText(index))).reply?.error).toBeUndefined();
  }
  const errors: (string | undefined)[] = [];
  for (let index = 3; index < 10; index += 1) {
    errors.push((await client.query(createText(index))).reply?.error);
  }
  expect(new Set(errors)).toEqual(new Set(['TOOLARGE']));
  // The session goes on with what it has.
  expect((await client.query('SET value1 short')).reply?.error).toBeUndefined();
  expect((await client.query('PUT any yes')).reply?.error).toBeUndefined();
  client.close();
});

test('all sessions of a host together keep a bounded amount, which ended ones give back', async () => {
  const clients = [];
  const outcomes: boolean[] = [];
  for (let index = 0; index < 40; index += 1) {
    const client = await fleet.connect(DATABASE, KEY);
    outcomes.push((await client.query(`SET value ${LARGE}`)).reply?.error === undefined);
    clients.push(client);
  }
  expect(outcomes.filter((isKept) => isKept)).toHaveLength(32);
  for (const client of clients) {
    client.close();
  }
  await fleet.waitFor(async () => {
    const client = await fleet.connect(DATABASE, KEY);
    const { reply } = await client.query(`SET value ${LARGE}`);
    client.close();
    return reply?.error === undefined;
  });
});
