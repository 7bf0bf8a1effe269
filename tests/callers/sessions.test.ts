import { afterAll, beforeAll, expect, test } from 'vitest';
import { CallerFleet, getError, getToken, GROUP } from './callerFleet.js';

const LAG_MS = 400;
const callers = new CallerFleet();

beforeAll(async () => {
  await callers.start();
});
afterAll(() => callers.stop());

function setLag(lagMs: number): void {
  callers.replicas.forEach((replica) => replica.setFaults({ lagMs }));
}

test('a session reads its writes after roaming to another daemon while replicas lag', async () => {
  setLag(LAG_MS);
  const writer = await callers.connect('entry-1');
  for (let id = 1; id <= 3; id += 1) {
    await writer.query('INSERT INTO bookings VALUES ($1, $2)', [id, 'first']);
    const token = await getToken(writer);
    const bySet = await callers.connect('entry-2');
    await bySet.query(`SET filbertpoint.session = '${token}'`);
    const byOption = await callers.connect('entry-2', 'mill', {
      options: `-c filbertpoint.session=${token}`,
    });
    for (const client of [bySet, byOption]) {
      const { rows } = await client.query('SELECT who FROM bookings WHERE id = $1', [id]);
      expect(rows).toEqual([{ who: 'first' }]);
    }
  }
  setLag(0);
});

test('the token comes as a parameter after each write', async () => {
  const client = await callers.connect();
  const statuses: string[] = [];
  const { connection } = client as unknown as {
    connection: {
      on(
        name: string,
        take: (status: { parameterName: string; parameterValue: string }) => void,
      ): void;
    };
  };
  connection.on('parameterStatus', ({ parameterName, parameterValue }) => {
    if (parameterName === 'filbertpoint.session') {
      statuses.push(parameterValue);
    }
  });
  await client.query("INSERT INTO bookings VALUES (50, 'a')");
  await client.query('SELECT 1');
  expect(statuses).toEqual([await getToken(client)]);
});

test('forged, foreign and malformed tokens are clear errors', async () => {
  const owner = await callers.connect();
  await owner.query("INSERT INTO bookings VALUES (60, 'a')");
  const token = await getToken(owner);
  const [body = '', code = ''] = token.split('.');
  const claims = Buffer.from(JSON.stringify(['mill', [[GROUP, 1, 1]]])).toString('base64url');
  const wrong = { code: '22023', detail: 'not run' };
  for (const forged of [`${claims}.${code}`, `${body}.${'A'.repeat(22)}`, body, 'x.y.z', '.']) {
    expect(await getError(owner.query(`SET filbertpoint.session = '${forged}'`))).toEqual(wrong);
  }
  const press = await callers.connect('entry-2', 'press');
  expect(await getError(press.query(`SET filbertpoint.session = '${token}'`))).toEqual({
    code: '42501',
    detail: 'not run',
  });
  const options = `-c filbertpoint.session=${token}`;
  const refused = getError(callers.connect('entry-2', 'press', { options }));
  expect(await refused).toEqual({ code: '42501', detail: 'not run' });
  expect((await owner.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
});

test('replicas serve the reads whose data they have, and stated ages', async () => {
  setLag(0);
  const client = await callers.connect();
  await client.query("INSERT INTO bookings VALUES (70, 'a')");
  await callers.fleet.waitFor(() =>
    callers.replicas.every((replica) => replica.position >= callers.primary.position),
  );
  await callers.fleet.sleep(120);
  const before = callers.primary.getStatus().executed;
  for (let count = 0; count < 50; count += 1) {
    await client.query('SELECT who FROM bookings WHERE id = 70');
  }
  expect(callers.primary.getStatus().executed - before).toBeLessThanOrEqual(5);

  callers.replicas.forEach((replica) => replica.setFaults({ replicationStopped: true }));
  await client.query("SET statement_timeout = '200ms'");
  const unconfirmed = client.query("UPDATE bookings SET who = 'b' WHERE id = 70");
  expect(await getError(unconfirmed)).toEqual({ code: '08007', detail: 'unknown' });
  const reader = await callers.connect();
  await reader.query("SET filbertpoint.max_staleness = '1min'");
  const old = await reader.query('SELECT who FROM bookings WHERE id = 70');
  expect(old.rows).toEqual([{ who: 'a' }]);
  callers.replicas.forEach((replica) => replica.setFaults({ replicationStopped: false }));
});

test('max_staleness takes times only, and SHOW gives it back', async () => {
  const client = await callers.connect();
  await client.query("SET filbertpoint.max_staleness = '2s'");
  const { rows } = await client.query('SHOW filbertpoint.max_staleness');
  expect(rows).toEqual([{ 'filbertpoint.max_staleness': '2000ms' }]);
  const wrong = await getError(client.query("SET filbertpoint.max_staleness = 'soon'"));
  expect(wrong).toEqual({ code: '22023', detail: 'not run' });
});
