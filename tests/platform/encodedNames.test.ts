import { afterAll, beforeAll, beforeEach, expect, test } from 'vitest';
import { createLineConfiguration } from '../../bench/lines/lineConfiguration.js';
import { createLinePlan, type LinePlan } from '../../bench/lines/linePlan.js';
import { LocalLineFleet } from '../../bench/lines/localLineFleet.js';
import { callControl, StatementWatch, type SeenStatement } from '../../standin/lines/index.js';

const LATEST = 'latest-ledger1';
const ROUTE = 'účty-粉碾';
const OWN_KEY = 'šifra-42';
/** Keys that no configuration holds: other letters, some with the same low byte, or other encodings. */
const FOREIGN_KEYS = ['aifra-42', 'ťifra-42', 'ａifra-42', 'sˇifra-42', 's\u030cifra-42'];
/** Client accounts with keys of which some share the low bytes of their letters. */
const KEYS = { mlyn: OWN_KEY, hamr: 'aifra-42', pila: 'Åifra', 'škoda-粉': 'klíč 🔑' };

/** Records the client accounts that statements of callers run for. */
class AccountRecorder extends StatementWatch {
  readonly accounts: string[] = [];

  override see({ id, account }: SeenStatement): void {
    if (id !== '-') {
      this.accounts.push(account);
    }
  }
}

const recorder = new AccountRecorder();
let plan: LinePlan;
let fleet: LocalLineFleet;

/** A field of the line protocol, one character per byte of its UTF-8. */
function toField(text: string): string {
  return Buffer.from(text, 'utf8').toString('latin1');
}

async function run(key: string, database = LATEST): Promise<string> {
  const client = await fleet.connect(database, key);
  if (client.isClosed) {
    return client.lastError ?? 'closed';
  }
  const { reply } = await client.query('PUT any yes');
  client.close();
  return reply?.error ?? 'done';
}

async function configure(
  version: number,
  accounts: Readonly<Record<string, readonly string[]>>,
): Promise<number> {
  const body = JSON.parse(createLineConfiguration(plan, { version, accounts })) as {
    routes: { name: string; host: string }[];
  };
  const [first] = body.routes;
  if (version > 2 && first !== undefined) {
    body.routes.push({ ...first, name: 'r-encoded', host: ROUTE });
  }
  const [control = ''] = fleet.controls;
  const path = '/filbertpoint/Config.Replace';
  return (await callControl(control, 'POST', path, JSON.stringify(body))).status;
}

beforeAll(async () => {
  plan = await createLinePlan({ controls: 3, entries: 1, groups: 1, network: 98 });
  fleet = new LocalLineFleet(plan);
  await fleet.start({ version: 1, accounts: { mill: ['key-mill'] } });
  fleet.getGroup().watch = recorder;
  expect(await configure(2, { mlyn: [OWN_KEY] })).toBe(200);
  await fleet.waitFor(async () => (await run('key-mill')) === 'NOAUTH');
});

beforeEach(() => {
  recorder.accounts.length = 0;
});

afterAll(async () => {
  await fleet.stop();
});

// Guards against a key that no configuration held and that passes for one with other letters (ROUTE).
test('a key that no configuration holds is refused, whatever its letters', async () => {
  for (const key of FOREIGN_KEYS) {
    expect([key, await run(toField(key))]).toEqual([key, 'NOAUTH']);
  }
  // The Latin-1 bytes of a key are another key.
  expect(await run('\xe1ifra-42')).toBe('NOAUTH');
  expect(recorder.accounts).toEqual([]);
});

// Guards against a caller who is refused though its key is in force (CONFIG).
test('a key with letters beyond ASCII admits its client account', async () => {
  expect(await run(toField(OWN_KEY))).toBe('done');
  expect(recorder.accounts).toEqual(['mlyn']);
});

// Guards against valid configurations that are refused, and names that instances receive in other bytes (UNASKED).
test('client accounts and their keys may have letters beyond ASCII, also similar ones', async () => {
  const accounts = Object.fromEntries(Object.entries(KEYS).map(([name, key]) => [name, [key]]));
  expect(await configure(3, accounts)).toBe(200);
  await fleet.waitFor(async () => (await run(toField(KEYS.pila))) === 'done');
  for (const [name, key] of Object.entries(KEYS)) {
    recorder.accounts.length = 0;
    expect([key, await run(toField(key))]).toEqual([key, 'done']);
    expect(recorder.accounts).toEqual([toField(name)]);
  }
});

test('a route with letters beyond ASCII is found by its bytes, and by no others', async () => {
  const key = toField(KEYS.hamr);
  expect(await run(key, toField(ROUTE))).toBe('done');
  expect(await run(key, toField(ROUTE).slice(0, -1))).toBe('NODB');
  expect(await run(key, toField('úcty-粉碾'))).toBe('NODB');
});

test('a failure domain with letters beyond ASCII is taken out of service and back', async () => {
  const [control = ''] = fleet.controls;
  for (const order of ['Drain.Begin', 'Drain.Finish']) {
    const path = `/filbertpoint/${order}/${encodeURIComponent('žleb-1')}`;
    expect((await callControl(control, 'POST', path)).status).toBe(200);
  }
});
