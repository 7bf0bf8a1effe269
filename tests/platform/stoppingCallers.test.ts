import { afterEach, beforeEach, expect, test } from 'vitest';
import { FrontHost } from './stoppingCallers.js';

const BUSY = /^ERROR BUSY FP2003[^\r]*\r\n$/;
const REFUSED = /^ERROR BUSY FP2003[^\r]*\r\nREADY I -\r\n$/;
const ANSWERED = /^ROW row\r\nDONE signature\r\nREADY I -\r\n/;

let host: FrontHost;

beforeEach(async () => {
  host = new FrontHost();
  await host.front.listen();
});

afterEach(() => host.close());

test('a whole request that lies unread in the socket when a stop begins is answered', async () => {
  const caller = await host.open();
  caller.send('QUERY 1 FETCH a\r\n');
  host.front.drain();
  await host.until(() => caller.hasEnded);
  expect(caller.received).toMatch(ANSWERED);
});

test('a request that meets the end of its idle session is refused as not run', async () => {
  const caller = await host.open();
  host.front.drain();
  await host.until(() => caller.received !== '');
  caller.send('QUERY 1 PUT a b\r\n');
  await host.until(() => caller.hasEnded);
  expect(caller.received).toMatch(REFUSED);
  expect(host.requests.passed).toEqual([]);
});

test('a request of which half was read when a stop begins is refused as not run', async () => {
  const caller = await host.open();
  caller.send('QUERY 1 PU');
  await host.until(() => caller.socket.bytesWritten > 20 && host.front.count === 1);
  host.front.drain();
  await host.until(() => caller.received !== '');
  caller.send('T a b\r\n');
  await host.until(() => caller.hasEnded);
  expect(caller.received).toMatch(REFUSED);
  expect(host.requests.passed).toEqual([]);
});

test('a caller whose first message lies unread when a stop begins is not cut off', async () => {
  const caller = await host.connect();
  await host.until(() => host.front.count === 1);
  caller.send('CONNECT ledger key\r\n');
  host.front.drain();
  await host.until(() => caller.hasEnded || caller.received.includes('ERROR'));
  expect(caller.received).toMatch(/^(READY I -\r\n)?ERROR BUSY FP2003[^\r]*\r\n/);
});

test('a caller that waits for a first configuration when a stop begins is refused', async () => {
  host.access.isKnown = false;
  const caller = await host.connect();
  caller.send('CONNECT ledger key\r\n');
  await host.until(() => host.front.count === 1);
  host.front.drain();
  await host.until(() => caller.hasEnded);
  expect(caller.received).toMatch(BUSY);
});

test('a caller that connects during a stop gets an answer to its first message', async () => {
  host.front.drain();
  const caller = await host.connect();
  caller.send('CONNECT ledger key\r\n');
  await host.until(() => caller.hasEnded || caller.received.includes('ERROR'));
  expect(caller.received).toMatch(/ERROR BUSY FP2003[^\r]*\r\n/);
});
