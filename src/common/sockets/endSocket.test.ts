import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { SystemTimerService } from '../timer/index.js';
import { endSocket } from './endSocket.js';

/** More than the buffers of both ends of a connection hold. */
const LONG_ANSWER = Buffer.alloc(40_000_000, 'x');
const FAREWELL = Buffer.from('farewell');
/** Time for which a slow caller takes nothing, each time. */
const SLOW_STEP_MS = 900;
/** Time for which it takes what has come, each time. */
const TAKING_MS = 20;
/** Interval in which a caller sends that was told of the end. */
const SENDING_MS = 500;
/** Longer than a caller that takes nothing is waited for. */
const STALLED_MS = 8000;

const timer = new SystemTimerService();
const server = createServer();
let host: Socket;
let caller: Socket;

beforeEach(async () => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  caller = connect({ host: '127.0.0.1', port, allowHalfOpen: true });
  [host] = (await once(server, 'connection')) as [Socket];
});

afterEach(() => {
  caller.destroy();
  host.destroy();
  server.close();
});

function sleep(durationMs: number): Promise<unknown> {
  return new Promise((resolve) => timer.once(durationMs, resolve));
}

// Guards against a stop that cuts an answer whose caller still takes it.
test('a caller that is slow to take its last answer gets the whole of it', async () => {
  let received = 0;
  caller.on('data', (bytes: Buffer) => (received += bytes.length));
  host.write(LONG_ANSWER);
  endSocket(host, timer, FAREWELL);
  while (!caller.readableEnded) {
    caller.pause();
    await sleep(SLOW_STEP_MS);
    caller.resume();
    await Promise.race([once(caller, 'data'), once(caller, 'end')]);
    await sleep(TAKING_MS);
  }
  expect(received).toBe(LONG_ANSWER.length + FAREWELL.length);
});

test('a caller that takes nothing of its last answer is disconnected after a while', async () => {
  caller.pause();
  host.write(LONG_ANSWER);
  endSocket(host, timer, FAREWELL);
  await Promise.race([once(host, 'close'), sleep(STALLED_MS)]);
  expect(host.destroyed).toBe(true);
});

// Guards against connections that stay open for as long as their callers send something.
test('a caller that keeps sending after the end is disconnected after a while', async () => {
  const stop = timer.subscribe(SENDING_MS, () => caller.write('x'));
  caller.on('error', () => undefined);
  endSocket(host, timer, FAREWELL);
  await Promise.race([once(host, 'close'), sleep(STALLED_MS)]);
  stop();
  expect(host.destroyed).toBe(true);
});
