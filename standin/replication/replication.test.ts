import { afterEach, describe, expect, it } from 'vitest';
import { toTerm } from '../../src/common/ids/index.js';
import { sqlStateOf, TestGroup } from '../testing/testGroup.js';

let group: TestGroup;

afterEach(async () => group.stop());

async function startWithTable(count: number): Promise<TestGroup> {
  group = await new TestGroup().start(count);
  const client = await group.connect(0);
  await client.query('CREATE TABLE t (id int PRIMARY KEY, n int)');
  await client.query('INSERT INTO t VALUES (1, 10)');
  await group.until(() => group.instances.every((each) => each.position === group.get(0).position));
  return group;
}

describe('replication', () => {
  it('brings committed rows to replicas, which refuse writes', async () => {
    await startWithTable(3);
    const replica = await group.connect(1);
    expect((await replica.query('SELECT id, n FROM t')).rows).toEqual([{ id: 1, n: 10 }]);
    expect(await sqlStateOf(replica.query('INSERT INTO t VALUES (2, 1)'))).toBe('25006');
    expect((await replica.query('SELECT pg_is_in_recovery() AS r')).rows).toEqual([{ r: true }]);
  });

  it('holds records back for the lag', async () => {
    await startWithTable(2);
    group.get(1).setFaults({ lagMs: 200 });
    const before = group.get(1).position;
    const client = await group.connect(0);
    await client.query('INSERT INTO t VALUES (2, 20)');
    expect(group.get(1).position).toBe(before);
    await group.until(() => group.get(1).position === group.get(0).position);
  });

  it('drops what an old primary wrote after the new term began', async () => {
    await startWithTable(3);
    const [old, next] = [group.get(0), group.get(1)];
    old.setFaults({ cutOff: true });
    old.setFaults({ cutOff: false, replicationStopped: true });
    const client = await group.connect(0);
    const start = await next.promote(toTerm(2));
    await client.query('INSERT INTO t VALUES (2, 20)');
    const nextClient = await group.connect(1);
    await nextClient.query('INSERT INTO t VALUES (3, 30)');
    expect(start).toEqual({ term: 2, position: old.records[1]?.position });
    old.setFaults({ replicationStopped: false });
    await group.until(() => group.instances.every(({ term }) => term === 2));
    await group.until(() => old.position === next.position);
    expect(old.records).toEqual(next.records);
    const rows = await (await group.connect(0)).query('SELECT id FROM t ORDER BY id');
    expect(rows.rows).toEqual([{ id: 1 }, { id: 3 }]);
  });

  it('fills a restarted instance before it serves', async () => {
    await startWithTable(2);
    const restarted = await group.restart(1);
    await group.until(() => restarted.isServing);
    expect(restarted.records).toEqual(group.get(0).records);
  });

  it('does not let a restarted primary lead its old term', async () => {
    await startWithTable(2);
    const restarted = await group.restart(0);
    expect(restarted.role).toBe('replica');
    expect(await sqlStateOf(group.connect(0))).toBe('57P03');
    await group.get(1).promote(toTerm(2));
    await group.until(() => restarted.isServing);
    expect(restarted.records).toEqual(group.get(1).records);
  });
});
