import type { Socket } from 'node:net';
import pg from 'pg';
import { createFault, Diagnostics } from '../../common/diagnostics/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { splitAddress } from '../../common/settings/index.js';
import type { PostgresAccess } from './postgresAccess.js';
import { createBoundSocket } from './boundSocket.js';

/** An authenticated connection that is detached from the client library. */
export interface OpenedSocket {
  readonly socket: Socket;
  readonly processId: number;
  readonly secretKey: number;
}

/** Fields of the client that the library's types omit. */
interface ClientInternals {
  readonly processID: number;
  readonly secretKey: number;
  readonly connection: { readonly stream: Socket };
}

/**
 * Connects and authenticates with the client library, then detaches the socket from it. Throws a
 * Fault.
 */
export async function openSocket(
  address: string,
  access: PostgresAccess,
  timeoutMs: number,
  timer: TimerService,
): Promise<OpenedSocket> {
  const { host: ip, port } = splitAddress(address);
  const socket = createBoundSocket(access.localIp);
  const client = new pg.Client({
    host: ip,
    port,
    user: access.user,
    password: access.password,
    database: access.database,
    stream: () => socket,
  });
  client.on('error', () => undefined);
  const cancelTimeout = timer.once(timeoutMs, () => {
    socket.destroy(new Error(`no answer within ${timeoutMs} ms`));
  });
  try {
    await client.connect();
  } catch (cause) {
    socket.destroy();
    const reason = cause instanceof Error ? cause.message : String(cause);
    const context = { step: 'backend.connect', peer: address };
    throw createFault(Diagnostics.BackendUnreachable, { reason }, context);
  } finally {
    cancelTimeout();
  }
  return detachSocket(client as unknown as ClientInternals);
}

function detachSocket(client: ClientInternals): OpenedSocket {
  const socket = client.connection.stream;
  for (const event of ['data', 'end', 'close', 'error', 'readable']) {
    socket.removeAllListeners(event);
  }
  return { socket, processId: client.processID, secretKey: client.secretKey };
}
