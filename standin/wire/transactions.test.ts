import type pg from 'pg';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { sqlStateOf, TestGroup } from '../testing/testGroup.js';

let group: TestGroup;
let one: pg.Client;
let two: pg.Client;

beforeEach(async () => {
  group = await new TestGroup().start(1);
  one = await group.connect();
  two = await group.connect();
  await one.query('CREATE TABLE t (id int PRIMARY KEY, n int)');
  await one.query('INSERT INTO t VALUES (1, 0), (2, 0)');
});

afterEach(async () => group.stop());

async function readAll(client: pg.Client): Promise<unknown[]> {
  const { rows } = await client.query<{ n: number }>('SELECT n FROM t ORDER BY id');
  return rows.map(({ n }) => n);
}

describe('transactions', () => {
  it('show others their writes only at the commit', async () => {
    await one.query('BEGIN');
    await one.query('UPDATE t SET n = 5 WHERE id = 1');
    expect([await readAll(one), await readAll(two)]).toEqual([
      [5, 0],
      [0, 0],
    ]);
    await one.query('COMMIT');
    expect(await readAll(two)).toEqual([5, 0]);
  });

  it('leave one log record each, and none when rolled back or empty', async () => {
    const before = group.get(0).records.length;
    await one.query(
      'BEGIN; UPDATE t SET n = 1 WHERE id = 1; UPDATE t SET n = 2 WHERE id = 2; COMMIT',
    );
    await one.query('BEGIN; UPDATE t SET n = 9 WHERE id = 1; ROLLBACK');
    await one.query('BEGIN; SELECT n FROM t; COMMIT');
    expect(group.get(0).records.length).toBe(before + 1);
    expect(await readAll(one)).toEqual([1, 2]);
  });

  it('make a second writer of a row wait and then see the first one', async () => {
    await one.query('BEGIN');
    await one.query('UPDATE t SET n = n + 1 WHERE id = 1');
    const waiting = two.query('UPDATE t SET n = n + 10 WHERE id = 1');
    await group.until(() => group.get(0).getStatus().active.now === 1);
    expect(await readAll(one)).toEqual([1, 0]);
    await one.query('COMMIT');
    await waiting;
    expect(await readAll(one)).toEqual([11, 0]);
  });

  it('make an insert of the same key wait and then fail', async () => {
    await one.query('BEGIN');
    await one.query('INSERT INTO t VALUES (3, 1)');
    const waiting = sqlStateOf(two.query('INSERT INTO t VALUES (3, 2)'));
    await group.until(() => group.get(0).getStatus().active.now === 1);
    await one.query('COMMIT');
    expect(await waiting).toBe('23505');
  });

  it('break a deadlock', async () => {
    await one.query('BEGIN; UPDATE t SET n = 1 WHERE id = 1');
    await two.query('BEGIN; UPDATE t SET n = 2 WHERE id = 2');
    const waiting = one.query('UPDATE t SET n = 1 WHERE id = 2');
    await group.until(() => group.get(0).getStatus().active.now === 1);
    expect(await sqlStateOf(two.query('UPDATE t SET n = 2 WHERE id = 1'))).toBe('40P01');
    await waiting;
    await one.query('COMMIT');
    expect(await readAll(one)).toEqual([1, 1]);
  });

  it('refuse all but their end after an error', async () => {
    await one.query('BEGIN; UPDATE t SET n = 7 WHERE id = 1');
    expect(await sqlStateOf(one.query('SELECT nothing FROM t'))).toBe('42703');
    expect(await sqlStateOf(one.query('SELECT 1'))).toBe('25P02');
    expect((await one.query('COMMIT')).command).toBe('ROLLBACK');
    expect(await readAll(one)).toEqual([0, 0]);
  });

  it('are rolled back when their client vanishes', async () => {
    const lost = await group.connect();
    await lost.query('BEGIN; UPDATE t SET n = 7 WHERE id = 1');
    (
      lost as unknown as { connection: { stream: { destroy(): void } } }
    ).connection.stream.destroy();
    await two.query('UPDATE t SET n = n + 1 WHERE id = 1');
    expect(await readAll(two)).toEqual([1, 0]);
  });

  it('refuse writes when they are read only', async () => {
    await one.query('BEGIN READ ONLY');
    expect(await sqlStateOf(one.query('DELETE FROM t'))).toBe('25006');
    await one.query('ROLLBACK');
    expect((await one.query('DELETE FROM t')).rowCount).toBe(2);
  });
});
