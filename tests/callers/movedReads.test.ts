import { afterAll, beforeAll, expect, test } from 'vitest';
import { CallerFleet } from './callerFleet.js';

const callers = new CallerFleet(1, { slots: 1 });

beforeAll(() => callers.start());
afterAll(() => callers.stop());

test('a read that waits for a slot starts on a replica that has caught up meanwhile', async () => {
  const [near, behind] = callers.replicas;
  const writer = await callers.connect('entry-1');
  behind?.setFaults({ lagMs: 500 });
  await writer.query("INSERT INTO bookings VALUES (1, 'a')");
  const clients = await Promise.all([1, 2].map(() => callers.connect('entry-1')));
  const running = clients.map((client) => client.query('SELECT pg_sleep(3)'));
  await callers.fleet.waitFor(() => near?.getStatus().executing.now === 1);
  expect(behind?.getStatus().executing.now).toBe(0);
  let together = false;
  await Promise.all([
    ...running,
    callers.fleet.waitFor(() => {
      together ||= callers.replicas.every((each) => each.getStatus().executing.now === 1);
      return together;
    }),
  ]);
  expect(together).toBe(true);
});
