import { afterAll, beforeAll, expect, test } from 'vitest';
import { createLinePlan } from '../../bench/lines/linePlan.js';
import { LocalLineFleet } from '../../bench/lines/localLineFleet.js';
import type { LineInstance } from '../../standin/lines/index.js';

const KEY = 'key-mill';
const LATEST = 'latest-ledger1';
const LATE_MS = 5000;

let fleet: LocalLineFleet;

beforeAll(async () => {
  const size = { controls: 3, entries: 2, groups: 1, network: 119, hasFencedOrders: false };
  fleet = new LocalLineFleet(await createLinePlan(size));
  await fleet.start({ version: 1, accounts: { mill: [KEY] } });
});

afterAll(async () => {
  await fleet.stop();
});

/** Writes a value; returns whether that was acknowledged. */
async function write(value: string): Promise<boolean> {
  const client = await fleet.connect(LATEST, KEY);
  const { reply } = await client.query(`PUT kept ${value}`);
  client.close();
  return reply !== undefined && reply.error === undefined;
}

test('an order carried out late by a platform without fencing loses no acknowledged write', async () => {
  const group = fleet.getGroup();
  const { primary: first } = group;
  if (first === undefined || fleet.platform === undefined) {
    throw new Error('the group has no primary');
  }
  // Whichever replica answers first is ordered first.
  let late: LineInstance | undefined;
  fleet.platform.getDelayMs = (id) => {
    if (late === undefined) {
      late = group.instances.find((each) => each.id === id);
      if (late !== undefined) {
        late.isDeaf = true;
      }
    }
    return late?.id === id ? LATE_MS : undefined;
  };
  expect(await write('before')).toBe(true);
  await fleet.sleep(100);
  await first.stop();
  await fleet.waitFor(() => group.primary !== first && group.primary !== undefined);
  if (late === undefined) {
    throw new Error('no promotion was ordered');
  }
  expect(group.primary).not.toBe(late);
  await first.start();
  let acknowledged = 'before';
  for (let count = 0; group.primary !== late; count += 1) {
    acknowledged = (await write(`late-${count}`)) ? `late-${count}` : acknowledged;
    await fleet.sleep(20);
  }
  late.isDeaf = false;
  await fleet.waitFor(() => write('after'));
  const unread = await fleet.connect(LATEST, KEY);
  const values = group.primary.log.flatMap(({ changes }) => changes.map(([, value]) => value));
  expect(values).toContain(acknowledged);
  expect((await unread.query('FETCH kept')).reply?.rows).toEqual(['after']);
  expect(group.lowerTokens).toBeGreaterThan(0);
  unread.close();
});
