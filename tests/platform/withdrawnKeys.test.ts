import { afterAll, beforeAll, beforeEach, expect, test } from 'vitest';
import { createLinePlan } from '../../bench/lines/linePlan.js';
import type { LineClient } from '../../bench/lines/lineClient.js';
import { LocalLineFleet } from '../../bench/lines/localLineFleet.js';
import { StatementWatch, type SeenStatement } from '../../standin/lines/index.js';

const LATEST = 'latest-ledger1';
const SESSION = 'session-ledger1';
const OPEN = 'open-ledger1';
const KEPT = 'key-kept';
const MOVED = 'key-moved';
/** Time for which statements occupy all slots; longer than a change takes to be in force. */
const OCCUPIED_MS = 1500;

/** Records the statements of callers, with the client account that they run for. */
class AccountRecorder extends StatementWatch {
  readonly seen: { readonly account: string; readonly text: string }[] = [];

  override see({ id, account, text }: SeenStatement): void {
    if (id !== '-') {
      this.seen.push({ account, text });
    }
  }
}

const recorder = new AccountRecorder();
let fleet: LocalLineFleet;
let version = 1;

beforeAll(async () => {
  fleet = new LocalLineFleet(
    await createLinePlan({ controls: 3, entries: 2, groups: 1, network: 99 }),
  );
  await fleet.start({ version, accounts: { mill: [KEPT, MOVED], press: ['key-press'] } });
  fleet.getGroup().watch = recorder;
});

beforeEach(async () => {
  await configure({ mill: [KEPT, MOVED], press: ['key-press'] });
});

afterAll(async () => {
  await fleet.stop();
});

/** Puts client accounts with their keys in force on both entry daemons. */
async function configure(accounts: Readonly<Record<string, readonly string[]>>): Promise<void> {
  version += 1;
  const probe = `key-probe-${version}`;
  await fleet.configure({ version, accounts: { ...accounts, probe: [probe] } });
  for (const entry of [0, 1]) {
    await fleet.waitFor(async () => {
      const client = await fleet.connect(LATEST, probe, entry);
      const isAdmitted = !client.isClosed;
      client.close();
      return isAdmitted;
    });
  }
}

/** Opens transactions that have written, on both entry daemons. */
async function begin(database: string, key: string, item: string): Promise<LineClient[]> {
  const clients = await Promise.all([0, 1].map((entry) => fleet.connect(database, key, entry)));
  for (const client of clients) {
    await client.query('BEGIN');
    expect((await client.query(`PUT ${item} data`)).reply?.error).toBeUndefined();
  }
  recorder.seen.length = 0;
  return clients;
}

function isCommitted(item: string): boolean {
  const log = fleet.getGroup().primary?.log ?? [];
  return log.some(({ changes }) => changes.some(([changed]) => changed === item));
}

// Guards against a COMMIT that runs though its caller's key was withdrawn (CONFIG) or given to another account (UNASKED).
test.each([
  ['withdrawn', { mill: [KEPT], press: ['key-press'] }],
  ['given to another client account', { mill: [KEPT], press: ['key-press', MOVED] }],
] as const)('a transaction ends without a COMMIT when its key is %s', async (name, accounts) => {
  const item = `commit-${name.split(' ')[0] ?? ''}`;
  const clients = await begin(LATEST, MOVED, item);
  await configure(accounts);
  for (const client of clients) {
    const { reply } = await client.query('COMMIT');
    expect(reply?.error).toMatch(/^(NOAUTH|ABORTED)$/);
    expect(reply?.status).toBe('I');
    client.close();
  }
  expect(recorder.seen).toEqual([]);
  expect(isCommitted(item)).toBe(false);
});

// Guards against statements that run for the account that held the key before (UNASKED).
test('no statement runs for the client account that no longer holds the key', async () => {
  const clients = await begin(LATEST, MOVED, 'inside');
  await configure({ mill: [KEPT], press: ['key-press', MOVED] });
  for (const client of clients) {
    const { reply } = await client.query('PUT inside again');
    expect([reply?.error, reply?.status]).toEqual([expect.any(String), 'E']);
    expect((await client.query('ROLLBACK')).reply?.status).toBe('I');
    // The caller goes on for the account that holds its key now.
    expect((await client.query('PUT inside new')).reply?.error).toBeUndefined();
    client.close();
  }
  expect(recorder.seen.map(({ account }) => account)).toEqual(['press', 'press']);
});

// Guards against a transaction on a public route that waits until another caller's has ended.
test('transactions of several callers are open on a public route at once', async () => {
  const clients = await begin(OPEN, MOVED, 'public');
  for (const client of clients) {
    expect((await client.query('COMMIT')).reply).toMatchObject({ error: undefined, status: 'I' });
    client.close();
  }
});

test('other changes of the configuration leave open transactions alone', async () => {
  const kept = await begin(LATEST, KEPT, 'kept');
  const open = await begin(OPEN, MOVED, 'open');
  await configure({ mill: [KEPT], press: ['key-press'] });
  for (const client of [...kept, ...open]) {
    expect((await client.query('PUT more data')).reply?.error).toBeUndefined();
    expect((await client.query('COMMIT')).reply).toMatchObject({ error: undefined, status: 'I' });
    client.close();
  }
  expect([isCommitted('kept'), isCommitted('open')]).toEqual([true, true]);
});

// Guards against a statement that runs after it waited while its caller's key was withdrawn (CONFIG).
test.each([
  ['withdrawn', LATEST, { mill: [KEPT], press: ['key-press'] }, 'NOAUTH'],
  ['given to another account', SESSION, { mill: [KEPT], press: ['key-press', MOVED] }, 'BUSY'],
] as const)(
  'a statement that waits is refused once its key is %s',
  async (_, database, accounts, error) => {
    const { options } = fleet.getGroup();
    const usualMs = options.workMs;
    const clients = await Promise.all(
      Array.from({ length: options.slots }, () => fleet.connect(database, KEPT)),
    );
    const waiting = await Promise.all([0, 1].map((entry) => fleet.connect(database, MOVED, entry)));
    recorder.seen.length = 0;
    options.workMs = OCCUPIED_MS;
    const others = clients.map((client) => client.query('PUT occupies data'));
    await fleet.waitFor(() => Promise.resolve(recorder.seen.length === clients.length));
    const replies = waiting.map((client) => client.query('PUT waits data'));
    options.workMs = usualMs;
    await configure(accounts);
    for (const { reply } of await Promise.all(replies)) {
      expect([reply?.error, reply?.status]).toEqual([error, 'I']);
    }
    for (const { reply } of await Promise.all(others)) {
      expect(reply?.error).toBeUndefined();
    }
    await Promise.all(clients.map((client) => client.query('PUT after data')));
    expect(recorder.seen.filter(({ text }) => text.includes('waits'))).toEqual([]);
    for (const client of [...clients, ...waiting]) {
      client.close();
    }
  },
);
