import fc from 'fast-check';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { createLinePlan, type LinePlan } from '../../bench/lines/linePlan.js';
import { LocalLineFleet } from '../../bench/lines/localLineFleet.js';
import { callControl } from '../../standin/lines/index.js';

const SEED = 20_261_205;
const RUNS = 60;
/** Time in which a departure has reached the holder. */
const SETTLE_MS = 500;
const LATEST = 'latest-ledger1';

let plan: LinePlan;
let fleet: LocalLineFleet;

beforeAll(async () => {
  plan = await createLinePlan({ controls: 3, entries: 1, groups: 1, network: 83 });
  fleet = new LocalLineFleet(plan);
  await fleet.start({ version: 3, accounts: { mill: ['key-mill'] } });
});
afterAll(() => fleet.stop());

/** JSON texts of entries with one odd thing or several, of other instances or under a living id. */
function createOddEntries(): fc.Arbitrary<{ id: string; body: string }> {
  const [planned] = plan.instances;
  const right = {
    ...{ service: planned?.service, addr: planned?.address, zone: 'north-a', version: 'v1' },
    ...{ slots: 4, state: 'ready', warmupLeftMs: 0, dbRole: 'replica', seq: 4, born: 1 },
  };
  const daemon = plan.daemons[3]?.frontend ?? '';
  const odd = fc.oneof(
    fc.constantFrom(0, -1, 0.5, 65_536, 2 ** 48, 2 ** 53 - 1, 8.64e15, 1e308, null, {}, []),
    fc.constantFrom(daemon, `${daemon}9`, '127.0.0.1:0', '127.0.0.1:99999', '__proto__'),
    fc.jsonValue({ maxDepth: 2 }),
  );
  const fields = fc.dictionary(fc.constantFrom(...Object.keys(right), 'more'), odd, { minKeys: 1 });
  const text = fields.map((changed) => JSON.stringify({ ...right, ...changed }));
  const deep = fc
    .tuple(text, fc.integer({ min: 1, max: 20_000 }))
    .map(([body, depth]) => `{"more":${'['.repeat(depth)}${']'.repeat(depth)},${body.slice(1)}`);
  const ids = fc.constantFrom('i-odd', '%00', '__proto__', ...plan.instances.map(({ id }) => id));
  return fc.record({ id: ids, body: fc.oneof(text, deep, fc.string({ unit: 'binary' })) });
}

test('odd entries of another writer leave the other instances served and end no process', async () => {
  const client = await fleet.connect(LATEST, 'key-mill');
  const failures: unknown[] = [];
  const note = (cause: unknown): number => failures.push(cause);
  process.on('uncaughtExceptionMonitor', note);
  let written = 0;
  await fc.assert(
    fc.asyncProperty(createOddEntries(), fc.nat(2), async ({ id, body }, control) => {
      const address = fleet.controls[control] ?? '';
      const path = `/filbertpoint/Instances.Heartbeat/${encodeURI(id)}`;
      expect((await callControl(address, 'POST', path, body)).status).not.toBe(0);
      written += 1;
    }),
    { seed: SEED, numRuns: RUNS },
  );
  await fleet.waitFor(async () => {
    const { reply } = await client.query(`PUT odd ${written}`);
    return reply !== undefined && reply.error === undefined;
  });
  expect((await client.query('FETCH odd')).reply?.rows).toEqual([String(written)]);
  expect([failures, fleet.getGroup().lostCommits]).toEqual([[], 0]);
  process.off('uncaughtExceptionMonitor', note);
  client.close();
});

test('departures that another writer sends under living ids end service for a moment only', async () => {
  const client = await fleet.connect(LATEST, 'key-mill');
  for (const [index, { id }] of plan.instances.entries()) {
    const address = fleet.controls[index % fleet.controls.length] ?? '';
    const path = `/filbertpoint/Instances.Deregister/${id}`;
    expect((await callControl(address, 'POST', path)).status).toBe(200);
  }
  await fleet.sleep(SETTLE_MS);
  await fleet.waitFor(async () => {
    const { reply } = await client.query('PUT back yes');
    return reply !== undefined && reply.error === undefined;
  });
  expect((await client.query('FETCH back')).reply?.rows).toEqual(['yes']);
  expect(fleet.getGroup().lostCommits).toBe(0);
  client.close();
});
