import fastify, { type FastifyInstance } from 'fastify';
import { afterEach, describe, expect, it } from 'vitest';
import { toTerm } from '../../src/common/ids/index.js';
import { InstanceRole, type Announcement } from '../../src/decisions/control/index.js';
import { TestGroup } from '../testing/testGroup.js';

let group: TestGroup;
const servers: FastifyInstance[] = [];

afterEach(async () => {
  await group.stop();
  await Promise.all(servers.splice(0).map((server) => server.close()));
});

interface Reception {
  readonly address: string;
  readonly announcements: Announcement[];
  readonly tokens: Set<string | undefined>;
  readonly senders: Set<string>;
  status: number;
}

async function receive(): Promise<Reception> {
  const server = fastify({ forceCloseConnections: true });
  const announcements: Announcement[] = [];
  const tokens = new Set<string | undefined>();
  const senders = new Set<string>();
  const reception = { announcements, tokens, senders, status: 200, address: '' };
  server.post('/announcements', async (request, reply) => {
    announcements.push(request.body as Announcement);
    tokens.add(request.headers.authorization);
    senders.add(request.ip);
    await reply.code(reception.status).send({});
  });
  servers.push(server);
  const url = await server.listen({ host: '127.0.0.1', port: 0 });
  return Object.assign(reception, { address: url.replace('http://', '') });
}

function order(term: number, instance = 'ledger-1-b'): unknown {
  return { group: 'ledger-1', instance, term };
}

describe('promotion', () => {
  it('is idempotent for a term and refused for lower ones and other instances', async () => {
    group = await new TestGroup().start(2);
    const first = await group.http(1, '/promote', order(3));
    expect([first.status, await first.json()]).toEqual([200, { term: 3, position: 0 }]);
    await (await group.connect(1)).query('CREATE TABLE t (id int)');
    expect(await (await group.http(1, '/promote', order(3))).json()).toEqual({
      term: 3,
      position: 0,
    });
    for (const refused of [
      order(2),
      order(4, 'ledger-1-a'),
      { ...(order(4) as object), group: 'x' },
    ]) {
      expect((await group.http(1, '/promote', refused)).status).toBe(409);
    }
    expect((await group.http(1, '/promote', { group: 'ledger-1' })).status).toBe(400);
    expect(group.get(1).getStatus()).toMatchObject({ role: 'primary', term: 3 });
  });

  it('is refused for a term that another instance leads', async () => {
    group = await new TestGroup().start(2);
    await group.get(1).promote(toTerm(2));
    await group.until(() => group.get(0).term === 2);
    expect((await group.http(0, '/promote', order(2, 'ledger-1-a'))).status).toBe(409);
  });

  it.each(['error', 'lost'] as const)('may fail half-way: %s', async (promoteFault) => {
    group = await new TestGroup().start(2);
    group.get(1).setFaults({ promoteFault });
    const answer = await group.http(1, '/promote', order(2)).then(
      ({ status }) => status,
      () => 'lost',
    );
    expect(answer).toBe(promoteFault === 'error' ? 500 : 'lost');
    expect(group.get(1).getStatus()).toMatchObject({ role: 'primary', term: 2 });
    group.get(1).setFaults({ promoteFault: 'none' });
    expect((await group.http(1, '/promote', order(2))).status).toBe(200);
  });

  it('may be answered late', async () => {
    group = await new TestGroup().start(2);
    group.get(1).setFaults({ promoteFault: 'late', promoteDelayMs: 1000 });
    const answer = group.http(1, '/promote', order(2));
    await group.until(() => group.get(1).role === InstanceRole.Primary);
    expect(await Promise.race([answer, Promise.resolve('not yet')])).toBe('not yet');
    expect((await answer).status).toBe(200);
  });

  it('ends the sessions of the old primary, whose open transactions are lost', async () => {
    group = await new TestGroup().start(2);
    const client = await group.connect(0);
    await client.query('CREATE TABLE t (id int)');
    await group.until(() => group.get(1).records.length === 1);
    await client.query('BEGIN; INSERT INTO t VALUES (1)');
    const ended = new Promise<string>((resolve) => {
      client.on('error', (cause: Error & { code?: string }) => resolve(cause.code ?? ''));
    });
    await group.get(1).promote(toTerm(2));
    expect(await ended).toBe('57P01');
    expect(group.get(1).records).toHaveLength(1);
  });
});

describe('announcements', () => {
  it('tell what the instance is, with the token', async () => {
    group = await new TestGroup({ announce_interval_ms: 5, announcement_token: 'secret' }).start(1);
    const reception = await receive();
    const [instance] = group.instances;
    instance?.setFilbertpoint([reception.address]);
    await group.until(() => reception.announcements.length > 1);
    expect(reception.announcements[0]).toEqual({
      group: 'ledger-1',
      instance: 'ledger-1-a',
      domain: 'domain-a',
      address: instance?.address,
      platform: instance?.platform,
      role: 'primary',
      term: 1,
      position: 0,
      slots: 5,
      connectionLimit: 50,
      leaving: false,
    });
    expect([...reception.tokens]).toEqual(['Bearer secret']);
    instance?.setFaults({ leaving: true });
    await group.until(() => reception.announcements.at(-1)?.leaving === true);
  });

  it("come from the instance's own address", async () => {
    group = await new TestGroup({ announce_interval_ms: 5, listen: '127.0.2.9:0' }).start(1);
    const reception = await receive();
    group.get(0).setFilbertpoint([reception.address]);
    await group.until(() => reception.announcements.length > 1);
    expect([...reception.senders]).toEqual(['127.0.2.9']);
  });

  it('go to the next daemon when one fails and stop while cut off', async () => {
    group = await new TestGroup({ announce_interval_ms: 5 }).start(1);
    const [failing, working] = [await receive(), await receive()];
    failing.status = 503;
    group.get(0).setFilbertpoint(['127.0.0.1:1', failing.address, working.address]);
    await group.until(() => working.announcements.length > 2);
    expect(failing.announcements).toHaveLength(1);
    group.get(0).setFaults({ cutOff: true });
    const before = working.announcements.length;
    await (await group.restart(0)).stop();
    expect(working.announcements.length - before).toBeLessThanOrEqual(1);
  });
});

describe('inspection', () => {
  it('counts received messages that contain a text', async () => {
    group = await new TestGroup().start(1);
    const client = await group.connect(0, { user: 'kinfe', application_name: 'press' });
    await client.query('SELECT $1::text', ['hidden-key']);
    await client.query("SELECT 'hidden-key'");
    const count = async (text: string): Promise<unknown> =>
      (await group.http(0, `/received?contains=${text}`)).json();
    expect(await count('hidden-key')).toEqual({ count: 2, complete: true });
    expect(await count('press')).toEqual({ count: 1, complete: true });
    expect(await count('never-sent')).toEqual({ count: 0, complete: true });
  });

  it('says when not everything received was kept', async () => {
    group = await new TestGroup({ received_limit_bytes: 100 }).start(1);
    await (await group.connect()).query(`SELECT '${'x'.repeat(200)}'`);
    expect(group.get(0).countReceived('x').complete).toBe(false);
  });

  it('lists the log with its terms', async () => {
    group = await new TestGroup().start(1);
    const client = await group.connect();
    await client.query('CREATE TABLE t (id int)');
    await client.query('INSERT INTO t VALUES (7)');
    const log = (await (await group.http(0, '/log')).json()) as {
      history: unknown;
      records: unknown[];
    };
    expect(log.history).toEqual([{ term: 1, position: 0 }]);
    expect(log.records[1]).toMatchObject({
      term: 1,
      changes: [{ kind: 'put', table: 't', rowId: 1, row: [7] }],
    });
    const position = group.get(0).records[0]?.position ?? 0;
    const rest = (await (await group.http(0, `/log?after=${position}`)).json()) as {
      records: unknown[];
    };
    expect(rest.records).toHaveLength(1);
  });

  it('takes faults over HTTP and refuses unknown ones', async () => {
    group = await new TestGroup().start(1);
    const answer = await group.http(0, '/faults', { lagMs: 40, leaving: true });
    expect(await answer.json()).toMatchObject({ lagMs: 40, leaving: true, cutOff: false });
    expect((await group.http(0, '/faults', { sleepy: true })).status).toBe(400);
  });
});
