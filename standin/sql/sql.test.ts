import type pg from 'pg';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { sqlStateOf, TestGroup } from '../testing/testGroup.js';

let group: TestGroup;
let client: pg.Client;

beforeAll(async () => {
  group = await new TestGroup().start(1);
  client = await group.connect();
  await client.query(`
    CREATE TABLE orchards (
      id serial PRIMARY KEY, name text NOT NULL, trees int DEFAULT 10, ripe boolean, weight numeric
    );
    CREATE TABLE deliveries (orchard int, day text, kilos bigint, PRIMARY KEY (orchard, day));
    INSERT INTO orchards (name, trees) VALUES ('Kinfe', 30), ('Letay', 20), ('Abeba', NULL);
    INSERT INTO orchards (name, ripe, weight) VALUES ('Hagos', true, 1.5);
    INSERT INTO deliveries VALUES (1, 'mon', 100), (1, 'tue', 250), (2, 'mon', NULL)`);
});

afterAll(async () => group.stop());

async function rowsOf(text: string, values: unknown[] = []): Promise<unknown[]> {
  return (await client.query<Record<string, unknown>>(text, values)).rows;
}

describe('SELECT', () => {
  it.each<[string, unknown[], unknown[]]>([
    ["SELECT 1 AS a, 'x' AS b, NULL AS c, true AS d", [], [{ a: 1, b: 'x', c: null, d: true }]],
    ['SELECT $1::int + 2 AS n, 7 / 2 AS q, 7 % 4 AS r', ['40'], [{ n: 42, q: 3, r: 3 }]],
    ['SELECT name FROM orchards WHERE id = $1', [2], [{ name: 'Letay' }]],
    ["SELECT id FROM orchards WHERE name = 'Abeba' AND trees IS NULL", [], [{ id: 3 }]],
    ['SELECT id FROM orchards WHERE trees = 10 AND ripe = $1', [true], [{ id: 4 }]],
    ['SELECT id FROM orchards WHERE id = 1 AND name = $1', ['Letay'], []],
    ['SELECT id FROM orchards WHERE id IN (1, 4) OR name = $1', ['Letay'], ids(1, 2, 4)],
    ['SELECT id FROM orchards WHERE NOT (id < 3) AND id <> 4', [], ids(3)],
    ['SELECT id FROM orchards ORDER BY trees DESC, id', [], ids(3, 1, 2, 4)],
    ['SELECT id FROM orchards ORDER BY trees NULLS FIRST, id LIMIT 2', [], ids(3, 4)],
    ['SELECT id FROM orchards ORDER BY name LIMIT $1 OFFSET 1', [2], ids(4, 1)],
    ['SELECT id AS n FROM orchards ORDER BY n DESC LIMIT 1', [], [{ n: 4 }]],
    ['SELECT kilos FROM deliveries WHERE orchard = 1 AND day = $1', ['tue'], [{ kilos: '250' }]],
    ['SELECT d.kilos FROM deliveries AS d WHERE d.kilos = 100', [], [{ kilos: '100' }]],
    ['SELECT count(*), count(kilos) AS k FROM deliveries', [], [{ count: '3', k: '2' }]],
    [
      'SELECT sum(trees), max(name), min(id) FROM orchards',
      [],
      [{ sum: '60', max: 'Letay', min: 1 }],
    ],
    ['SELECT sum(kilos) FROM deliveries WHERE orchard = 9', [], [{ sum: null }]],
    ['SELECT coalesce(sum(kilos), 0) AS k FROM deliveries WHERE orchard = 9', [], [{ k: '0' }]],
    ["SELECT repeat('ab', 3) AS r, upper('x') || lower('Y') AS u", [], [{ r: 'ababab', u: 'Xy' }]],
    ['SELECT weight FROM orchards WHERE weight = 1.5', [], [{ weight: '1.5' }]],
    ["SELECT current_setting('timezone') AS z", [], [{ z: 'UTC' }]],
  ])('%s', async (text, values, rows) => {
    expect(await rowsOf(text, values)).toEqual(rows);
  });

  it('gives columns their PostgreSQL types', async () => {
    const { fields } = await client.query(
      'SELECT id, name, ripe, weight, pg_current_wal_lsn() AS l FROM orchards',
    );
    expect(fields.map(({ name, dataTypeID }) => [name, dataTypeID])).toEqual([
      ['id', 23],
      ['name', 25],
      ['ripe', 16],
      ['weight', 1700],
      ['l', 3220],
    ]);
  });

  it('returns a row of 16 MiB', async () => {
    const [row] = await rowsOf("SELECT repeat('x', 16777216) AS r");
    expect((row as { r: string }).r).toBe('x'.repeat(16_777_216));
  });
});

describe('writes', () => {
  it('gives serial and default values and returns rows', async () => {
    const text =
      'INSERT INTO orchards (name, trees) VALUES ($1, DEFAULT), ($2, 5) RETURNING trees, name';
    expect(await rowsOf(text, ['Alem', 'Birhan'])).toEqual([
      { trees: 10, name: 'Alem' },
      { trees: 5, name: 'Birhan' },
    ]);
    await client.query('DELETE FROM orchards WHERE id = 5 OR id = 6');
  });

  it('updates with the old value and tells how many rows changed', async () => {
    const { rowCount, rows } = await client.query(
      'UPDATE orchards SET trees = trees + 1, ripe = false WHERE id = $1 RETURNING trees, ripe',
      [2],
    );
    expect({ rowCount, rows }).toEqual({ rowCount: 1, rows: [{ trees: 21, ripe: false }] });
    await client.query('UPDATE orchards SET trees = 20 WHERE id = 2');
  });

  it('frees the key of a deleted row', async () => {
    expect((await client.query("DELETE FROM deliveries WHERE day = 'tue'")).rowCount).toBe(1);
    await client.query("INSERT INTO deliveries VALUES (1, 'tue', 250)");
    const text =
      "INSERT INTO deliveries VALUES (1, 'tue', 1), (1, 'wed', 2) ON CONFLICT DO NOTHING";
    expect((await client.query(text)).rowCount).toBe(1);
    await client.query("DELETE FROM deliveries WHERE day = 'wed'");
  });

  it('drops tables', async () => {
    await client.query('CREATE TABLE gone (a int); CREATE TABLE IF NOT EXISTS gone (a int)');
    await client.query('DROP TABLE gone; DROP TABLE IF EXISTS gone');
    expect(await sqlStateOf(client.query('SELECT a FROM gone'))).toBe('42P01');
  });
});

describe('errors', () => {
  it.each([
    ['SELEC 1', '42601'],
    ['SELECT * FROM nowhere', '42P01'],
    ['DROP TABLE nowhere', '42P01'],
    ['SELECT nothing FROM orchards', '42703'],
    ['INSERT INTO orchards (nothing) VALUES (1)', '42703'],
    ['SELECT nothing(1)', '42883'],
    ['CREATE TABLE orchards (id int)', '42P07'],
    ["INSERT INTO deliveries VALUES (1, 'mon', 1)", '23505'],
    ["UPDATE deliveries SET day = 'tue' WHERE orchard = 1 AND day = 'mon'", '23505'],
    ['INSERT INTO orchards (trees) VALUES (1)', '23502'],
    ["INSERT INTO orchards (name, trees) VALUES ('x', 'many')", '22P02'],
    ["INSERT INTO orchards (name, trees) VALUES ('x', 3000000000)", '22003'],
    ['SELECT 1 / 0', '22012'],
    ['SELECT id, count(*) FROM orchards', '42803'],
    ['COPY orchards FROM STDIN', '0A000'],
    ['LISTEN news', '0A000'],
    ['SELECT id FROM orchards FOR UPDATE', '0A000'],
    ['SELECT o.id FROM orchards o JOIN deliveries d ON o.id = d.orchard', '0A000'],
    ['CREATE TEMPORARY TABLE t (a int)', '0A000'],
    ['SHOW nothing', '42704'],
    ['SET nothing = 1', '42704'],
    ['SELECT pg_last_wal_replay_lsn(1)', '42883'],
  ])('%s gives %s', async (text, sqlState) => {
    expect(await sqlStateOf(client.query(text))).toBe(sqlState);
    expect(await rowsOf('SELECT count(*) FROM orchards')).toEqual([{ count: '4' }]);
  });
});

describe('positions', () => {
  it('rise with each write and not with reads', async () => {
    const position = async (): Promise<unknown> =>
      rowsOf('SELECT pg_current_wal_lsn() AS p, filbertpoint_term() AS t');
    const before = await position();
    await rowsOf('SELECT id FROM orchards');
    expect(await position()).toEqual(before);
    await client.query('UPDATE orchards SET trees = 30 WHERE id = 1');
    expect(await position()).not.toEqual(before);
    expect(before).toEqual([{ p: expect.stringMatching(/^0\/[0-9A-F]+$/) as string, t: 1 }]);
  });
});

describe('session settings', () => {
  it('are set, shown, reset and local to transactions', async () => {
    await client.query("SET filbertpoint.session = 'a b'; SET application_name TO press");
    await client.query('BEGIN; SET LOCAL filbertpoint.session = 5');
    expect(await rowsOf('SHOW filbertpoint.session')).toEqual([{ 'filbertpoint.session': '5' }]);
    await client.query('COMMIT; BEGIN; SET application_name = none; ROLLBACK');
    expect(await rowsOf('SHOW filbertpoint.session')).toEqual([{ 'filbertpoint.session': 'a b' }]);
    expect(await rowsOf('SHOW application_name')).toEqual([{ application_name: 'press' }]);
    await client.query('DISCARD ALL');
    expect(await sqlStateOf(client.query('SHOW filbertpoint.session'))).toBe('42704');
    expect(await rowsOf('SHOW application_name')).toEqual([{ application_name: '' }]);
  });
});

function ids(...values: number[]): { id: number }[] {
  return values.map((id) => ({ id }));
}
