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
