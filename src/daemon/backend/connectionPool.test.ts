import { createServer, type AddressInfo, type Server } from 'node:net';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { createFault, Diagnostics } from '../../common/diagnostics/index.js';
import { SystemTimerService } from '../../common/timer/index.js';
import { toAccountId, toGroupId, toInstanceId } from '../../common/ids/index.js';
import { PostgresProtocol } from '../postgres/index.js';
import type { BackendLink } from './backendLink.js';
import { ConnectionPool } from './connectionPool.js';

const READY = Buffer.from([0x5a, 0, 0, 0, 5, 0x49]);
const STARTUP_ANSWER = Buffer.concat([
  Buffer.from([0x52, 0, 0, 0, 8, 0, 0, 0, 0]),
  Buffer.from([0x4b, 0, 0, 0, 12, 0, 0, 0, 1, 0, 0, 0, 2]),
  READY,
]);
const SYNC = 0x53;
const timer = new SystemTimerService();
const limits = { maximumConnections: 2, warmConnections: 0, openTimeoutMs: 1000 };

let server: Server;
let pool: ConnectionPool;
let isUnresponsive = false;
let heartbeats = 0;

/** Starts a server that accepts any login, and answers each Sync unless `isUnresponsive` is set. */
beforeEach(async () => {
  isUnresponsive = false;
  heartbeats = 0;
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(STARTUP_ANSWER);
      socket.on('data', (bytes: Buffer) => {
        heartbeats += bytes[0] === SYNC ? 1 : 0;
        if (!isUnresponsive) {
          socket.write(READY);
        }
      });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const protocol = new PostgresProtocol({ localIp: '127.0.0.1', user: 'u', password: undefined });
  const target = { address, group: toGroupId('d'), instance: toInstanceId('i') };
  pool = new ConnectionPool(target, protocol, limits, timer);
});

afterEach(() => {
  pool.close(createFault(Diagnostics.ShuttingDown, {}, { step: 'test' }));
  server.close();
});

function acquire(): Promise<BackendLink> {
  return new Promise((resolve, reject) => {
    pool.acquire({ account: toAccountId('a'), connected: resolve, failed: reject });
  });
}

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise<void>((resolve) => {
      timer.once(10, () => resolve());
    });
  }
}

test('an idle connection that answers its heartbeats is reused', async () => {
  const connection = await acquire();
  pool.release(connection, true);
  // While a heartbeat is unanswered the connection is not idle, and another one would be opened.
  await waitFor(() => heartbeats >= 2 && pool.hasIdle(toAccountId('a')));
  expect(await acquire()).toBe(connection);
  expect(pool.size).toBe(1);
});

test('an idle connection that answers no heartbeat is closed and replaced', async () => {
  let unresponsiveCount = 0;
  pool.onUnresponsive = () => {
    unresponsiveCount += 1;
  };
  const connection = await acquire();
  isUnresponsive = true;
  pool.release(connection, true);
  await waitFor(() => unresponsiveCount > 0);
  expect(connection.isClosed).toBe(true);
  expect(pool.size).toBe(0);
  isUnresponsive = false;
  expect(await acquire()).not.toBe(connection);
});

test('a connection is not handed out while its heartbeat is unanswered', async () => {
  const connection = await acquire();
  isUnresponsive = true;
  pool.release(connection, true);
  await waitFor(() => heartbeats > 0);
  expect(await acquire()).not.toBe(connection);
});

test('a connection with a cancelled request is closed on its release', async () => {
  const connection = await acquire();
  connection.cancel();
  pool.release(connection, true);
  expect(connection.isClosed).toBe(true);
});
