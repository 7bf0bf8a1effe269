import { afterAll, beforeAll, expect, test } from 'vitest';
import type pg from 'pg';
import { createFleetPlan, LocalFleet } from '../../bench/fleet/index.js';

const GROUP = 'ledger-1';
const fleet = new LocalFleet(createFleetPlan({ controls: 1, entries: 3, groups: 1 }));
let key = '';

beforeAll(async () => {
  await fleet.start();
  const keys = await fleet.openAccounts([{ account: 'press', rate: 10_000, burst: 1000 }]);
  key = keys.get('press') ?? '';
  await fleet.waitForGroup(GROUP);
  const client = await connect('entry-1');
  await client.query('CREATE TABLE deliveries (id int primary key)');
  await client.end();
});

afterAll(() => fleet.stop());

function connect(host: string): Promise<pg.Client> {
  return fleet.connect(host, 'press', key, GROUP);
}

async function readGroup() {
  const { body } = await fleet.http.get(fleet.operators, '/status');
  const { groups } = body as {
    readonly groups: readonly { holder?: string; primary?: string; phase?: string }[];
  };
  return groups[0];
}

async function isReady(host: string): Promise<boolean> {
  const { operators } = fleet.getDaemon(host);
  return (await fleet.http.get(operators, '/readyz')).status === 200;
}

function getDomain(name: string): string {
  const hosts = fleet.daemons.map(({ plan }) => ({ name: plan.host, domain: plan.domain }));
  const servers = fleet.instances.map(({ plan }) => ({ name: plan.instance, domain: plan.domain }));
  return [...hosts, ...servers].find((each) => each.name === name)?.domain ?? '';
}

async function setInService(domain: string, inService: boolean): Promise<void> {
  await fleet.submit({ kind: 'failure-domain', domain, inService });
}

test('domains go out one after another and return; service goes on elsewhere', async () => {
  const steady = await connect('entry-3');
  let id = 0;
  for (const domain of ['mekelle', 'adigrat']) {
    const host = domain === 'mekelle' ? 'entry-1' : 'entry-2';
    const idle = await connect(host);
    const told = new Promise((resolve) => idle.once('error', resolve));
    const open = await connect(host);
    await open.query('BEGIN');
    await open.query(`INSERT INTO deliveries VALUES (${100 + id})`);
    await setInService(domain, false);
    expect(await told).toMatchObject({ code: '57P01' });
    // What runs ends in its own time.
    await open.query('COMMIT');
    await fleet.waitFor(async () => {
      const group = await readGroup();
      const names = [group?.holder ?? '', group?.primary ?? ''];
      const isAway = names.every((name) => name !== '' && getDomain(name) !== domain);
      return isAway && group?.phase === 'serving';
    });
    await fleet.waitFor(async () => !(await isReady(host)));
    await expect(connect(host)).rejects.toMatchObject({ code: '57P01' });
    id += 1;
    await steady.query(`INSERT INTO deliveries VALUES (${id})`);
    await setInService(domain, true);
    await fleet.waitFor(() => isReady(host));
    await (await connect(host)).query('SELECT 1');
  }
  const { rows } = await steady.query('SELECT count(*) AS n FROM deliveries');
  expect(rows).toEqual([{ n: '4' }]);
});

test('a domain that is out while the primary elsewhere fails', async () => {
  const before = await readGroup();
  const primary = before?.primary ?? '';
  const other = ['mekelle', 'adigrat', 'wukro'].find(
    (domain) => domain !== getDomain(primary) && domain !== getDomain('entry-3'),
  );
  const steady = await connect('entry-3');
  await setInService(other ?? '', false);
  await steady.query('INSERT INTO deliveries VALUES (50)');
  fleet.getInstance(primary).instance.setFaults({ cutOff: true });
  await steady.query('INSERT INTO deliveries VALUES (51)');
  const after = await readGroup();
  expect(after?.primary).not.toBe(primary);
  expect(getDomain(after?.primary ?? '')).not.toBe(other);
  const { rows } = await steady.query('SELECT id FROM deliveries WHERE id = 50');
  expect(rows).toHaveLength(1);
});
