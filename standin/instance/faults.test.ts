import { connect } from 'node:net';
import type pg from 'pg';
import { afterEach, describe, expect, it } from 'vitest';
import { RawClient } from '../testing/rawClient.js';
import { sqlStateOf, TestGroup } from '../testing/testGroup.js';

let group: TestGroup;

afterEach(async () => group.stop());

describe('limits', () => {
  it('refuses connections beyond the limit and counts them', async () => {
    group = await new TestGroup({ connection_limit: 2 }).start(1);
    const [first] = [await group.connect(), await group.connect()];
    expect(await sqlStateOf(group.connect())).toBe('53300');
    await first.end();
    await group.until(() => group.get(0).getStatus().connections.now === 1);
    await group.connect();
    const { connections } = group.get(0).getStatus();
    expect(connections).toEqual({ now: 2, maximum: 2, limit: 2, refused: 1 });
  });

  it('executes no more statements at once than it has slots', async () => {
    group = await new TestGroup({ slots: 2, statement_ms: 5 }).start(1);
    const clients = await Promise.all(Array.from({ length: 6 }, () => group.connect()));
    await Promise.all(clients.map((client) => client.query('SELECT 1')));
    const { executing, active, executed } = group.get(0).getStatus();
    expect(executing).toEqual({ now: 0, maximum: 2, limit: 2, queued: 0 });
    expect(active.maximum).toBeGreaterThan(2);
    expect(executed).toBe(6);
  });

  it('lets a writer that waits for a lock give up its slot', async () => {
    group = await new TestGroup({ slots: 1 }).start(1);
    const [one, two] = [await group.connect(), await group.connect()];
    await one.query('CREATE TABLE t (id int PRIMARY KEY, n int); INSERT INTO t VALUES (1, 0)');
    await one.query('BEGIN; UPDATE t SET n = 1');
    const waiting = two.query('UPDATE t SET n = n + 1');
    await group.until(() => group.get(0).getStatus().active.now === 1);
    await one.query('UPDATE t SET n = 2');
    await one.query('COMMIT');
    await waiting;
    expect((await one.query('SELECT n FROM t')).rows).toEqual([{ n: 3 }]);
  });

  it('answers about positions while all slots are taken', async () => {
    group = await new TestGroup({ slots: 1 }).start(1);
    const [one, two] = [await group.connect(), await group.connect()];
    const sleeping = one.query('SELECT pg_sleep(10)');
    await group.until(() => group.get(0).getStatus().executing.now === 1);
    await two.query('SELECT pg_current_wal_lsn(), filbertpoint_term()');
    expect(group.get(0).getStatus().executing.now).toBe(1);
    await group.get(0).stop();
    await expect(sleeping).rejects.toThrow();
  });
});

describe('cancelling', () => {
  it('breaks off a statement, by its key only', async () => {
    group = await new TestGroup().start(1);
    const client = await group.connect();
    const sleeping = sqlStateOf(client.query('SELECT pg_sleep(600)'));
    await group.until(() => group.get(0).getStatus().executing.now === 1);
    const { processID, secretKey } = client as unknown as { processID: number; secretKey: number };
    await sendCancel(processID, secretKey ^ 1);
    expect(group.get(0).getStatus().executing.now).toBe(1);
    await sendCancel(processID, secretKey);
    expect(await sleeping).toBe('57014');
    expect((await client.query('SELECT 1 AS a')).rows).toEqual([{ a: 1 }]);
  });

  it('breaks off a wait for a lock', async () => {
    group = await new TestGroup().start(1);
    const [one, two] = [await group.connect(), await group.connect()];
    await one.query('CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)');
    await one.query('BEGIN; DELETE FROM t');
    await two.query("SET statement_timeout = '20ms'");
    expect(await sqlStateOf(two.query('DELETE FROM t'))).toBe('57014');
    await one.query('ROLLBACK');
    await two.query('DELETE FROM t');
  });
});

describe('faults', () => {
  it('makes present connections silent for good while new ones work', async () => {
    group = await new TestGroup().start(1);
    await (await group.connect()).query('CREATE TABLE t (id int PRIMARY KEY)');
    const silent = await group.connect();
    group.get(0).silenceConnections();
    let hasAnswered = false;
    silent.query('INSERT INTO t VALUES (1)').then(
      () => (hasAnswered = true),
      () => undefined,
    );
    const fresh = await group.connect();
    expect((await fresh.query('SELECT count(*) FROM t')).rows).toEqual([{ count: '0' }]);
    expect(hasAnswered).toBe(false);
  });

  it('applies a statement whose answer falls silent', async () => {
    group = await new TestGroup().start(1);
    const client = await group.connect();
    await client.query('CREATE TABLE t (id int PRIMARY KEY)');
    let hasAnswered = false;
    client.query('SELECT pg_sleep(0.05); INSERT INTO t VALUES (1)').then(
      () => (hasAnswered = true),
      () => undefined,
    );
    await group.until(() => group.get(0).getStatus().executing.now === 1);
    group.get(0).silenceConnections();
    await group.until(() => group.get(0).getStatus().records === 2);
    await (await group.connect()).query('SELECT 1');
    expect(hasAnswered).toBe(false);
  });

  it('keeps a silent connection and its locks after its client has closed it', async () => {
    group = await new TestGroup().start(1);
    const lost = await loseInTransaction();
    await lost.end();
    const fresh = await group.connect();
    await fresh.query("SET statement_timeout = '50ms'");
    expect(await sqlStateOf(fresh.query('DELETE FROM t'))).toBe('57014');
    expect(group.get(0).getStatus().connections.now).toBe(2);
  });

  it('ends a ghost that idles in a transaction for longer than its timeout', async () => {
    group = await new TestGroup().start(1);
    const lost = await loseInTransaction('100ms');
    await lost.end();
    const fresh = await group.connect();
    expect((await fresh.query('DELETE FROM t')).rowCount).toBe(1);
    expect(group.get(0).getStatus().connections.now).toBe(1);
  });

  it('ends a ghost whose time ran out while its statement ran', async () => {
    group = await new TestGroup().start(1);
    const lost = await group.connect();
    const sleeping = sqlStateOf(lost.query('SELECT pg_sleep(0.2)'));
    await group.until(() => group.get(0).getStatus().executing.now === 1);
    group.get(0).setFaults({ ghostMs: 10 });
    group.get(0).silenceConnections();
    await lost.end();
    await sleeping;
    await group.until(() => group.get(0).getStatus().connections.now === 0);
    expect(group.get(0).getStatus().executing.now).toBe(0);
  });

  it('ends a session that idles in a transaction for longer than its timeout', async () => {
    group = await new TestGroup().start(1);
    const client = await group.connect();
    await client.query("SET idle_in_transaction_session_timeout = '20ms'");
    await client.query('SELECT pg_sleep(0.05)');
    const ended = new Promise<string>((resolve) => {
      client.on('error', (cause: Error & { code?: string }) => resolve(cause.code ?? ''));
    });
    await client.query('BEGIN; SELECT pg_sleep(0.05)');
    expect(await ended).toBe('25P03');
  });

  it('accepts new connections and does not answer them', async () => {
    group = await new TestGroup().start(1);
    const present = await group.connect();
    group.get(0).setFaults({ silentNew: true });
    let isConnected = false;
    const client = group.createClient();
    client.connect().then(
      () => (isConnected = true),
      () => undefined,
    );
    await present.query('SELECT pg_sleep(0.05)');
    expect(isConnected).toBe(false);
  });

  it('drops all connections and refuses new ones while it is cut off', async () => {
    group = await new TestGroup().start(2);
    const client = await group.connect();
    group.get(0).setFaults({ cutOff: true });
    await expect(client.query('SELECT 1')).rejects.toThrow();
    await expect(group.connect()).rejects.toThrow();
    const order = { group: 'ledger-1', instance: 'ledger-1-a', term: 2 };
    await expect(group.http(0, '/promote', order)).rejects.toThrow();
    expect((await group.http(0, '/status')).status).toBe(200);
    group.get(0).setFaults({ cutOff: false });
    await (await group.connect()).query('SELECT 1');
  });

  it('takes its time to open a connection', async () => {
    group = await new TestGroup({ opening_time_ms: 1000 }).start(1);
    const opening = group.connect();
    await group.until(() => group.get(0).getStatus().connections.now === 1);
    const isOpen = await Promise.race([opening, Promise.resolve('not yet')]);
    expect(isOpen).toBe('not yet');
    await opening;
  });

  it('stops replication and goes on with it', async () => {
    group = await new TestGroup().start(2);
    const client = await group.connect();
    group.get(1).setFaults({ replicationStopped: true });
    await client.query('CREATE TABLE t (id int PRIMARY KEY)');
    await client.query('SELECT pg_sleep(0.1)');
    expect(group.get(1).records).toHaveLength(0);
    group.get(1).setFaults({ replicationStopped: false });
    await group.until(() => group.get(1).position === group.get(0).position);
  });
});

describe('authentication', () => {
  it('asks for the password in the settings', async () => {
    group = await new TestGroup({ password: 'stone', user: 'filbertpoint' }).start(1);
    const user = 'filbertpoint';
    await group.connect(0, { user, password: 'stone' });
    expect(await sqlStateOf(group.connect(0, { user, password: 'wrong' }))).toBe('28P01');
    expect(await sqlStateOf(group.connect(0, { user: 'other', password: 'stone' }))).toBe('28P01');
  });

  it('reports its parameters', async () => {
    group = await new TestGroup().start(1);
    const client = await RawClient.open(group.get(0).address);
    client.send(Buffer.from('Q\0\0\0\x22SET application_name = weigher\0\0'));
    const [status] = await client.take('readyForQuery');
    expect(status).toMatchObject({ parameterName: 'application_name', parameterValue: 'weigher' });
    client.close();
  });
});

async function loseInTransaction(idleTimeout = '0'): Promise<pg.Client> {
  const client = await group.connect();
  await client.query('CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1)');
  await client.query(`SET idle_in_transaction_session_timeout = '${idleTimeout}'`);
  group.get(0).setFaults({ ghostMs: 600_000 });
  const deleted = client.query('BEGIN; DELETE FROM t; SELECT pg_sleep(0.5)');
  await group.until(() => group.get(0).getStatus().executing.now === 1);
  group.get(0).silenceConnections();
  deleted.catch(() => undefined);
  await group.until(() => group.get(0).getStatus().executing.now === 0);
  return client;
}

function sendCancel(processId: number, secret: number): Promise<void> {
  const [host = '', port = ''] = group.get(0).address.split(':');
  const packet = Buffer.alloc(16);
  [16, 80_877_102, processId, secret].forEach((value, index) =>
    packet.writeInt32BE(value, index * 4),
  );
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port: Number(port) }, () => socket.write(packet));
    socket.on('error', reject);
    socket.on('close', () => resolve());
    socket.resume();
  });
}
