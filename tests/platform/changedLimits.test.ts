import { afterAll, beforeAll, expect, test } from 'vitest';
import { createLineConfiguration } from '../../bench/lines/lineConfiguration.js';
import { createLinePlan, type LinePlan } from '../../bench/lines/linePlan.js';
import { LocalLineFleet } from '../../bench/lines/localLineFleet.js';
import { callControl } from '../../standin/lines/index.js';

/** An instance works this long on a request: longer than a change of the configuration takes. */
const WORK_MS = 700;
const ACCOUNTS = { mill: ['key-mill'] };

let plan: LinePlan;
let fleet: LocalLineFleet;

beforeAll(async () => {
  plan = await createLinePlan({ controls: 3, entries: 1, groups: 1, network: 84 });
  fleet = new LocalLineFleet(plan, WORK_MS);
  await fleet.start({ version: 3, accounts: ACCOUNTS });
});
afterAll(() => fleet.stop());

test('a configuration with another limit of connections cuts no request under way', async () => {
  const [control = ''] = fleet.controls;
  const client = await fleet.connect('latest-ledger1', 'key-mill');
  await client.query('PUT item first');
  for (const [index, limit] of [12, 14].entries()) {
    const body = createLineConfiguration(plan, { version: 4 + index, accounts: ACCOUNTS });
    const changed = body.replace('"maxConns":16', `"maxConns":${limit}`);
    const written = client.query(`PUT item ${limit}`);
    const path = '/filbertpoint/Config.Replace';
    expect((await callControl(control, 'POST', path, changed)).status).toBe(200);
    expect((await written).reply).toMatchObject({ error: undefined, status: 'I' });
    expect((await client.query('FETCH item')).reply?.rows).toEqual([String(limit)]);
  }
  client.close();
});
