import { afterEach, beforeEach, expect, test } from 'vitest';
import { FrontHost, type RawCaller } from './stoppingCallers.js';

const REFUSED = /^ERROR BUSY FP3005, retry after 250 ms\r\n$/;
/** Longer than the front needs to notice the loss of its lease and to wait for it. */
const NOTICE_MS = 400;

let host: FrontHost;

beforeEach(async () => {
  host = new FrontHost();
  await host.front.listen();
});

afterEach(() => host.close());

async function connect(): Promise<RawCaller> {
  const caller = await host.connect();
  caller.send('CONNECT ledger key\r\n');
  return caller;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    host.timer.once(durationMs, () => resolve());
  });
}

test('a host that lost its lease refuses new callers at once, so that they reach another host', async () => {
  await host.open();
  host.access.hasConfiguration = false;
  await sleep(NOTICE_MS);
  const caller = await connect();
  await sleep(NOTICE_MS);
  expect(caller.received).toMatch(REFUSED);
});

test('callers wait for the first lease of a host that starts, and are served then', async () => {
  host.access.hasConfiguration = false;
  const caller = await connect();
  await sleep(2 * NOTICE_MS);
  expect(caller.received).toBe('');
  host.access.hasConfiguration = true;
  await host.until(() => caller.received !== '');
  expect(caller.received).toBe('READY I -\r\n');
});

test('a host without a lease ends idle sessions after a while, and no others', async () => {
  const idle = await host.open();
  const inTransaction = await host.open();
  inTransaction.send('QUERY 1 BEGIN\r\n');
  await host.until(() => inTransaction.received.endsWith('READY T -\r\n'));
  host.requests.answersAtOnce = false;
  const running = await host.open();
  running.send('QUERY 2 PUT a b\r\n');
  await host.until(() => host.requests.passed.length === 1);
  [idle, inTransaction, running].map((caller) => caller.take());
  host.access.hasConfiguration = false;
  await sleep(NOTICE_MS);
  expect(idle.received).toBe('');
  await host.until(() => idle.received !== '');
  expect(idle.received).toMatch(/^ERROR BUSY FP3005[^\r]*\r\n$/);
  await host.until(() => idle.hasEnded);
  expect([inTransaction.received, running.received]).toEqual(['', '']);
  host.requests.passed[0]?.answer();
  await host.until(() => running.received !== '');
  expect(running.received).toMatch(/^ROW row\r\n/);
});
