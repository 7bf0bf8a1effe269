import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { findFreePorts } from '../../bench/fleet/freePorts.js';
import { ControlFront } from '../../platform/http/controlFront.js';
import { toFailureDomain } from '../../src/common/ids/index.js';
import { Logger } from '../../src/common/logging/index.js';
import { SystemTimerService } from '../../src/common/timer/index.js';
import { callControl } from '../../standin/lines/index.js';
import { MemoryControlClient } from '../support/memoryControlClient.js';
import { SettableReadiness } from '../support/operatorHost.js';

const DOMAIN = toFailureDomain('north');
const BEGIN = `/filbertpoint/Drain.Begin/${DOMAIN}`;
const FINISH = `/filbertpoint/Drain.Finish/${DOMAIN}`;

const timer = new SystemTimerService();
let control: MemoryControlClient;
let front: ControlFront;
let address: string;
let lines: string[];

beforeEach(async () => {
  control = new MemoryControlClient();
  lines = [];
  const [port = 0] = await findFreePorts('127.0.0.1', 1);
  address = `127.0.0.1:${port}`;
  const logger = new Logger('info', {}, (line) => lines.push(line));
  const readiness = new SettableReadiness();
  front = new ControlFront({ listen: address, control, readiness, logger, timer });
  await front.start();
});
afterEach(() => front.stop());

async function order(path: string): Promise<number> {
  const { status } = await callControl(address, 'POST', path);
  return status;
}

/** Connects and has the connection accepted, so that what is sent next can be closed at once. */
async function openCaller(): Promise<Socket> {
  const [host = '', port] = address.split(':');
  const socket = connect(Number(port), host);
  socket.write('GET /filbertpoint/Config.Fetch HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n');
  await new Promise((resolve) => socket.once('data', resolve));
  return socket;
}

function sendOrder(socket: Socket, path: string): void {
  socket.write(`POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n`);
}

/** Blocks the event loop, so that nothing is read from sockets. */
function holdLoop(durationMs: number): void {
  const releaseMs = timer.now() + durationMs;
  while (timer.now() < releaseMs);
}

// Guards against an order that waits in the socket of a suspended host and undoes a newer one.
test('an order whose caller left before it was read is not carried out', async () => {
  const caller = await openCaller();
  sendOrder(caller, FINISH);
  caller.end();
  // The order and the close arrive together.
  holdLoop(100);
  await expect.poll(() => lines.join()).toContain('caller=gone');
  expect(control.domains).toEqual([]);
  expect(lines.join()).toContain('code=FP8010');
});

// Guards against an order that the network delayed, ahead of its caller's close, and that undoes a newer one (EVAC).
test.each([
  ['Drain.Finish', FINISH, BEGIN],
  ['Drain.Begin', BEGIN, FINISH],
])('a late %s whose close follows it does not undo a newer order', async (_, late, newer) => {
  const caller = await openCaller();
  expect(await order(newer)).toBe(200);
  sendOrder(caller, late);
  timer.once(40, () => caller.end());
  await expect.poll(() => lines.join()).toContain('caller=gone');
  expect(lines.join()).toContain('code=FP8010');
  expect(control.isInService(DOMAIN)).toBe(newer === FINISH);
});

// Guards against an order that TCP resends after a suspension, with a close that is lost.
test('a host refuses orders that may have been sent while it was paused', async () => {
  const caller = await openCaller();
  holdLoop(1000);
  await expect.poll(() => control.domains.length).toBe(0);
  // The caller's TCP resends the order 1.4 s after it was sent.
  await new Promise((resolve) => timer.once(700, resolve));
  sendOrder(caller, FINISH);
  await expect.poll(() => lines.join()).toContain('code=FP8012');
  expect(control.domains).toEqual([]);
  caller.destroy();
  await expect.poll(() => order(FINISH), { timeout: 3000 }).toBe(200);
});

// Guards against a call to the control leader that is repeated for a caller that has left.
test('an order that is delayed on its way does not undo a newer one', async () => {
  expect(await order(BEGIN)).toBe(200);
  let release: () => void = () => undefined;
  control.switchGate = new Promise((resolve) => {
    release = resolve;
  });
  const caller = await openCaller();
  sendOrder(caller, FINISH);
  await expect.poll(() => control.domains.length).toBe(2);
  control.switchGate = undefined;
  caller.destroy();
  expect(await order(BEGIN)).toBe(200);
  release();
  await expect.poll(() => lines.join()).toContain('caller=gone');
  expect(control.isInService(DOMAIN)).toBe(false);
});

// Guards against an order of a caller whose host was lost, so that no close ever arrives.
test('an order that may have waited longer than its caller does is refused as not run', async () => {
  const caller = await openCaller();
  sendOrder(caller, FINISH);
  holdLoop(1000);
  await expect.poll(() => lines.join()).toContain('code=FP8012');
  expect(control.domains).toEqual([]);
  caller.destroy();
  await expect.poll(() => order(FINISH), { timeout: 3000 }).toBe(200);
});

// Guards against an order that is repeated to the quorum for a caller that did not close.
test('an order that finds no quorum while its caller waits is refused as not run', async () => {
  const caller = await openCaller();
  let open: () => void = () => undefined;
  control.gate = new Promise((resolve) => {
    open = resolve;
  });
  sendOrder(caller, FINISH);
  timer.once(1000, open);
  await expect.poll(() => lines.join(), { timeout: 5000 }).toContain('code=FP8012');
  expect(control.domains).toEqual([]);
  caller.destroy();
});

test('orders are acknowledged again, and the latest one is in force', async () => {
  for (const [path, isInService] of [
    [BEGIN, false],
    [BEGIN, false],
    [FINISH, true],
    [BEGIN, false],
    [FINISH, true],
  ] as const) {
    expect(await order(path)).toBe(200);
    expect(control.isInService(DOMAIN)).toBe(isInService);
  }
});

test('orders sent at the same time are all acknowledged', async () => {
  expect(await Promise.all([order(BEGIN), order(BEGIN), order(BEGIN)])).toEqual([200, 200, 200]);
  expect(control.isInService(DOMAIN)).toBe(false);
});

test('the log line of an order tells whether its caller waited and where the log has it', async () => {
  await order(BEGIN);
  expect(lines.find((line) => line.includes('code=FP8007'))).toMatch(
    /message="Ticket domain north out was acknowledged\." .*caller=waiting( pauseMs=\d+ sincePauseMs=\d+)? revision=1$/,
  );
});
