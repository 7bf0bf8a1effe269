import { serialize } from 'pg-protocol';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RawClient, summarize } from '../testing/rawClient.js';
import { sqlStateOf, TestGroup } from '../testing/testGroup.js';

let group: TestGroup;
let client: RawClient;

beforeEach(async () => {
  group = await new TestGroup().start(1);
  await (await group.connect()).query('CREATE TABLE t (id int PRIMARY KEY, n int)');
  client = await RawClient.open(group.get(0).address);
});

afterEach(async () => {
  client.close();
  await group.stop();
});

function run(text: string, values: unknown[] = []): Buffer[] {
  return [
    serialize.parse({ text }),
    serialize.bind({ values: values as string[] }),
    serialize.execute({}),
  ];
}

describe('extended protocol', () => {
  it('answers a whole pipeline in order', async () => {
    client.send(
      ...run('INSERT INTO t VALUES ($1, $2)', ['1', '10']),
      serialize.sync(),
      serialize.parse({ name: 's', text: 'SELECT n FROM t WHERE id = $1' }),
      serialize.describe({ type: 'S', name: 's' }),
      serialize.bind({ statement: 's', values: ['1'] }),
      serialize.execute({}),
      serialize.close({ type: 'S', name: 's' }),
      serialize.sync(),
    );
    expect(summarize(await client.take('readyForQuery'))).toEqual([
      'parseComplete',
      'bindComplete',
      'commandComplete',
      'readyForQuery',
    ]);
    const second = await client.take('readyForQuery');
    expect(summarize(second)).toEqual([
      'parseComplete',
      'parameterDescription',
      'rowDescription',
      'bindComplete',
      'dataRow',
      'commandComplete',
      'closeComplete',
      'readyForQuery',
    ]);
    expect(second[1]?.dataTypeIDs).toEqual([23]);
    expect(second[4]?.fields).toEqual(['10']);
  });

  it('skips to Sync after an error and rolls the pipeline back', async () => {
    client.send(
      ...run('INSERT INTO t VALUES (1, 1)'),
      ...run('SELECT 1 / 0'),
      ...run('INSERT INTO t VALUES (2, 2)'),
      serialize.sync(),
      ...run('SELECT count(*) FROM t'),
      serialize.sync(),
    );
    expect(summarize(await client.take('readyForQuery'))).toEqual([
      'parseComplete',
      'bindComplete',
      'commandComplete',
      'parseComplete',
      'bindComplete',
      'error 22012',
      'readyForQuery',
    ]);
    expect((await client.take('readyForQuery'))[2]?.fields).toEqual(['0']);
  });

  it('gives a portal in parts', async () => {
    client.send(serialize.query('INSERT INTO t VALUES (1, 1), (2, 2), (3, 3)'));
    await client.take('readyForQuery');
    client.send(
      serialize.parse({ text: 'SELECT id FROM t ORDER BY id' }),
      serialize.bind({ portal: 'p' }),
      serialize.execute({ portal: 'p', rows: 2 }),
      serialize.execute({ portal: 'p', rows: 2 }),
      serialize.sync(),
    );
    expect(summarize(await client.take('readyForQuery')).slice(2)).toEqual([
      'dataRow',
      'dataRow',
      'portalSuspended',
      'dataRow',
      'commandComplete',
      'readyForQuery',
    ]);
  });

  it('answers at Flush before Sync', async () => {
    client.send(...run('SELECT 1'), serialize.flush());
    expect(summarize(await client.take('commandComplete'))).toContain('dataRow');
    client.send(serialize.sync());
    await client.take('readyForQuery');
  });

  it.each([
    ['several statements', [serialize.parse({ text: 'SELECT 1; SELECT 2' })], '42601'],
    ['an unknown statement', [serialize.bind({ statement: 'x' })], '26000'],
    ['an unknown portal', [serialize.execute({ portal: 'x' })], '34000'],
    ['too few parameters', run('SELECT $1', []), '08P01'],
    [
      'a binary result',
      [serialize.parse({ text: 'SELECT 1' }), serialize.bind({ binary: true })],
      '0A000',
    ],
    ['a binary parameter', run('SELECT $1', [Buffer.from('1')]), '0A000'],
    ['a truncated message', [Buffer.from('B\0\0\0\x06\0\0')], '08P01'],
    ['an unknown message', [Buffer.from('?\0\0\0\x04')], '08P01'],
  ])('refuses %s', async (_what, messages, sqlState) => {
    client.send(...messages, serialize.sync());
    expect(summarize(await client.take('readyForQuery'))).toContain(`error ${sqlState}`);
  });

  it('refuses to prepare a name twice', async () => {
    const prepare = serialize.parse({ name: 's', text: 'SELECT 1' });
    client.send(prepare, prepare, serialize.sync());
    expect(summarize(await client.take('readyForQuery'))[1]).toBe('error 42P05');
  });

  it('answers an empty query and several statements in one', async () => {
    client.send(serialize.query(' -- nothing'));
    expect(summarize(await client.take('readyForQuery'))).toEqual(['emptyQuery', 'readyForQuery']);
    client.send(serialize.query("SELECT ';' AS a; INSERT INTO t VALUES (7, 7); SELECT 1 / 0"));
    expect(summarize(await client.take('readyForQuery'))).toEqual([
      'rowDescription',
      'dataRow',
      'commandComplete',
      'commandComplete',
      'error 22012',
      'readyForQuery',
    ]);
    client.send(serialize.query('SELECT count(*) FROM t'));
    expect((await client.take('readyForQuery'))[1]?.fields).toEqual(['0']);
  });

  it('keeps prepared statements valid when their table is made anew', async () => {
    const pgClient = await group.connect();
    const select = { name: 's', text: 'SELECT n FROM t WHERE id = $1', values: [1] };
    await pgClient.query('INSERT INTO t VALUES (1, 1)');
    expect((await pgClient.query(select)).rows).toEqual([{ n: 1 }]);
    await pgClient.query(
      'DROP TABLE t; CREATE TABLE t (id int, n int); INSERT INTO t VALUES (1, 9)',
    );
    expect((await pgClient.query(select)).rows).toEqual([{ n: 9 }]);
    await pgClient.query('DEALLOCATE ALL');
    expect(await sqlStateOf(pgClient.query('DEALLOCATE s'))).toBe('26000');
  });
});
