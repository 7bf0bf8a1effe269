import { beforeEach, expect, test } from 'vitest';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { toAccountId, toGroupId, toInstanceId } from '../../common/ids/index.js';
import { ManualTimerService, type Unsubscribe } from '../../common/timer/index.js';
import type { BackendLink } from './backendLink.js';
import { BackendProbe } from './backendProbe.js';
import { BackendProtocol } from './backendProtocol.js';
import { ConnectionPool, type ConnectionWaiter } from './connectionPool.js';

const ACCOUNT = toAccountId('mill');
const FAULT = createFault(Diagnostics.BackendUnreachable, { reason: 'test' }, { step: 'test' });
const CLOSED = createFault(Diagnostics.ShuttingDown, {}, { step: 'test' });

/** A timer service whose timers are early by up to a millisecond, as those of Node.js may be. */
class EarlyTimerService extends ManualTimerService {
  override once(delayMs: number, handler: (nowMs: number) => void): Unsubscribe {
    return super.once(Math.max(0, delayMs - 0.9), handler);
  }
}

/** A server that can be opened to when `isUp`; attempts end when the test says so. */
class CountingProtocol extends BackendProtocol {
  override readonly isPerAccount = true;
  override readonly checksMinimum = true;
  isUp = false;
  attempts = 0;
  closes = 0;

  override async open(): Promise<BackendLink> {
    this.attempts += 1;
    await Promise.resolve();
    if (!this.isUp) {
      throw FAULT;
    }
    const link = {
      account: ACCOUNT,
      isClosed: false,
      isRetired: false,
      onClosed: undefined as (() => void) | undefined,
      close: () => {
        this.closes += 1;
        link.onClosed?.();
      },
    };
    return link as unknown as BackendLink;
  }

  override createProbe(): BackendProbe {
    throw new Error('no probe is needed');
  }
}

/** Keeps what became of a request for a connection. */
class RecordingWaiter implements ConnectionWaiter {
  readonly account = ACCOUNT;
  connection: BackendLink | undefined;
  fault: Fault | undefined;

  connected(connection: BackendLink): void {
    this.connection = connection;
  }

  failed(fault: Fault): void {
    this.fault = fault;
  }
}

let timer: EarlyTimerService;
let protocol: CountingProtocol;
let pool: ConnectionPool;

beforeEach(() => {
  timer = new EarlyTimerService();
  protocol = new CountingProtocol();
  const target = { address: 'a', group: toGroupId('g'), instance: toInstanceId('i') };
  const limits = { maximumConnections: 4, warmConnections: 0, openTimeoutMs: 1000 };
  pool = new ConnectionPool(target, protocol, limits, timer);
});

async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

function acquire(): RecordingWaiter {
  const waiter = new RecordingWaiter();
  pool.acquire(waiter);
  return waiter;
}

// Guards against a statement that never gets an answer as the only timer that would open its connection was early.
test('a request that waits out the pause after a failed attempt gets a connection', async () => {
  const first = acquire();
  await settle();
  expect(first.fault).toBe(FAULT);
  const second = acquire();
  protocol.isUp = true;
  timer.advance(50);
  await settle();
  expect(second.connection).toBeDefined();
  expect(protocol.attempts).toBe(2);
});

test('attempts that fail together cause one pause, and none is made in it', async () => {
  const waiters = [acquire(), acquire(), acquire()];
  await settle();
  expect(waiters.map(({ fault }) => fault)).toEqual([FAULT, FAULT, FAULT]);
  acquire();
  timer.advance(40);
  await settle();
  expect(protocol.attempts).toBe(3);
  timer.advance(10);
  await settle();
  expect(protocol.attempts).toBe(4);
});

// Guards against a closed pool that opens connections, closes each at once, and begins again.
test('a closed pool takes no request and opens no connection', async () => {
  protocol.isUp = true;
  const waiting = acquire();
  pool.close(CLOSED);
  expect(waiting.fault).toBe(CLOSED);
  const late = acquire();
  expect(late.fault).toBe(CLOSED);
  pool.warm(ACCOUNT);
  await settle();
  timer.advance(1000);
  await settle();
  expect([protocol.attempts, protocol.closes, pool.size]).toEqual([1, 1, 0]);
});

test('a request that was abandoned gets no connection', async () => {
  const abandoned = acquire();
  pool.abandon(abandoned);
  protocol.isUp = true;
  await settle();
  timer.advance(100);
  await settle();
  expect([abandoned.connection, abandoned.fault]).toEqual([undefined, undefined]);
});
