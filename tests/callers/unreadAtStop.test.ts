import { connect, type Socket } from 'node:net';
import { parse, serialize } from 'pg-protocol';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { CallerFleet } from './callerFleet.js';

/** What a daemon has to stop, as its program sets it. */
const GRACE_MS = 10_000;
/** Time for which nothing is read while what callers send arrives. */
const HELD_MS = 100;
const STARTUP = serialize.startup({ user: 'anyone', database: 'open-ledger' });
const OPEN_QUERY = serialize.query('SELECT 1 AS one');
/** Longer than a connection lingers that was ended. */
const SLOW_MS = 2500;

let callers: CallerFleet;

beforeEach(async () => {
  callers = new CallerFleet(2);
  await callers.start();
});
afterEach(() => callers.stop());

/** Keeps the process from reading anything. */
function holdLoop(): void {
  const endMs = callers.fleet.timer.now() + HELD_MS;
  while (callers.fleet.timer.now() < endMs);
}

function open(): Socket {
  const { plan, daemon } = callers.fleet.getDaemon('entry-2');
  return connect({ host: plan.ip, port: daemon.callerPort });
}

/** What a caller is told until its connection ends. */
async function readAll(socket: Socket): Promise<unknown[]> {
  const told: unknown[] = [];
  const ended = new Promise((resolve) => {
    socket.on('error', (error) => told.push(error)).on('close', resolve);
  });
  void parse(socket, (message) => told.push(message)).catch(() => undefined);
  await ended;
  return told;
}

const REFUSED: unknown = expect.objectContaining({ code: '57P01', detail: 'not run' });

test('a query that was unread when its host was told to stop is answered or refused', async () => {
  const raw = await callers.openRaw('entry-2');
  raw.send(OPEN_QUERY);
  holdLoop();
  const stopped = callers.fleet.getDaemon('entry-2').daemon.stop(GRACE_MS);
  const messages = await raw.take('error');
  expect(messages.at(-1)).toMatchObject({ code: '57P01' });
  await stopped;
});

test('a start that was unread when its host was told to stop is refused with a reason', async () => {
  const socket = open();
  await new Promise((resolve) => socket.once('connect', resolve));
  await callers.fleet.sleep(50);
  const told = readAll(socket);
  socket.write(STARTUP);
  holdLoop();
  const stopped = callers.fleet.getDaemon('entry-2').daemon.stop(GRACE_MS);
  expect(await told).toContainEqual(REFUSED);
  await stopped;
});

test('a connection that was not accepted when its host was told to stop is refused with a reason', async () => {
  const socket = open();
  const told = readAll(socket);
  socket.write(STARTUP);
  await new Promise((resolve) => process.nextTick(resolve));
  holdLoop();
  const stopped = callers.fleet.getDaemon('entry-2').daemon.stop(GRACE_MS);
  expect(await told).toContainEqual(REFUSED);
  await stopped;
});

test('a caller that is slow to take its answer gets the whole of it from a host that stops', async () => {
  const raw = await callers.openRaw('entry-2');
  raw.send(serialize.query("SELECT repeat('x', 30000000) AS text"));
  await callers.fleet.sleep(200);
  raw.socket.pause();
  await callers.fleet.sleep(200);
  const stopped = callers.fleet.getDaemon('entry-2').daemon.stop(GRACE_MS);
  await callers.fleet.sleep(SLOW_MS);
  raw.socket.resume();
  const messages = await raw.take('readyForQuery');
  expect(messages.map(({ name }) => name)).toContain('commandComplete');
  await stopped;
});
