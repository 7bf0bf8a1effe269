import { connect as connectTcp, createServer, type AddressInfo, type Socket } from 'node:net';
import { expect, test } from 'vitest';
import { WebSocket } from 'ws';
import { toGroupId, toHostId, toIncarnation } from '../../common/ids/index.js';
import { Logger } from '../../common/logging/index.js';
import { Metrics } from '../../common/metrics/index.js';
import {
  ManualTimerService,
  SystemTimerService,
  type TimerService,
} from '../../common/timer/index.js';
import { Mesh } from './mesh.js';
import { MeshKind } from './meshKind.js';
import { GREETING_TIMEOUT_MS } from './meshLink.js';

const LISTEN = '127.0.0.1:0';
/** Time for a link to open on loopback, well within the limit for closing a silent one. */
const LINK_TIMEOUT_MS = 300;
const timer = new SystemTimerService();

function createMesh(name: string, clock: TimerService = timer, advertise?: string): Mesh {
  const options = {
    ...(advertise === undefined ? {} : { advertise }),
    ...{ host: toHostId(name), incarnation: toIncarnation(`${name}-1`), listen: LISTEN },
    maximumFrameBytes: 1_000_000,
  };
  const logger = new Logger('error', {}, () => undefined);
  return new Mesh(options, clock, logger, new Metrics().meshTraffic);
}

/** Connects; gives nothing when the connection was refused. */
function connect(address: string): Promise<WebSocket | undefined> {
  const socket = new WebSocket(`ws://${address}`);
  return new Promise((resolve) => {
    socket.on('open', () => resolve(socket));
    socket.on('error', () => resolve(undefined));
  });
}

test('a mesh closes although others connect while its links are closed', async () => {
  const mesh = createMesh('a');
  const peer = createMesh('b');
  await mesh.listen();
  await peer.listen();
  const { address } = mesh;
  const silent = await connect(address);
  silent?.pause();
  const closed = mesh.close();
  // In the run that found it, seed 56 of the fault soak, a peer dialled again while links were closed.
  // In the run that found it, seed 56 of the fault soak, a peer dialled again while links were closed.
  const link = peer.getLink(address);
  await Promise.race([
    closed,
    new Promise<void>((resolve) => timer.once(LINK_TIMEOUT_MS, () => resolve())),
  ]);
  await closed;
  expect(mesh.count).toBe(0);
  expect(link.peer).toBeUndefined();
  await peer.close();
});

test('a daemon speaks over the link that the other side opened', async () => {
  const mesh = createMesh('a');
  const peer = createMesh('b');
  await mesh.listen();
  await peer.listen();
  const opened = peer.getLink(mesh.address);
  await waitFor(() => opened.peer !== undefined && mesh.hasLinkTo(toIncarnation('b-1')));
  const reused = mesh.getLink(peer.address);
  expect([reused.target, reused.peer?.host, mesh.count]).toEqual([peer.address, 'b', 1]);
  opened.close('lost');
  await waitFor(() => reused.isClosed);
  expect(mesh.getLink(peer.address)).not.toBe(reused);
  await Promise.all([mesh.close(), peer.close()]);
});

/** A host that takes connections, and whose process gets to them when the test says so. */
class BusyHost {
  readonly accepted: Socket[] = [];
  private readonly server = createServer((socket) => {
    this.accepted.push(socket.once('readable', () => undefined));
  });

  /** Connections whose callers have sent something. */
  get activeCount(): number {
    return this.accepted.filter(({ readableLength }) => readableLength > 0).length;
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Passes the connections on to a daemon. */
  forwardTo(address: string): void {
    for (const socket of this.accepted) {
      const daemon = connectTcp(Number(address.split(':')[1]), '127.0.0.1');
      socket.on('error', () => daemon.destroy()).on('close', () => daemon.destroy());
      daemon.on('error', () => socket.destroy()).on('close', () => socket.destroy());
      socket.pipe(daemon);
      daemon.pipe(socket);
    }
  }

  close(): void {
    this.server.close();
    this.accepted.forEach((socket) => socket.destroy());
  }
}

test('a host that is slow to greet is not dialled again and again while it gets to it', async () => {
  const clock = new ManualTimerService();
  const mesh = createMesh('a', clock);
  const peer = createMesh('b');
  const busy = new BusyHost();
  await mesh.listen();
  await peer.listen();
  const address = await busy.listen();
  const link = mesh.getLink(address);
  await waitFor(() => busy.activeCount === 1);
  clock.advance(2000);
  expect([link.isClosed, mesh.getLink(address) === link]).toEqual([false, true]);
  busy.forwardTo(peer.address);
  await waitFor(() => link.peer !== undefined);
  expect([link.peer?.host, busy.accepted.length]).toEqual(['b', 1]);
  await Promise.all([mesh.close(), peer.close()]);
  busy.close();
});

test('a host that never greets is given up', async () => {
  const clock = new ManualTimerService();
  const mesh = createMesh('a', clock);
  const busy = new BusyHost();
  await mesh.listen();
  const link = mesh.getLink(await busy.listen());
  await waitFor(() => busy.activeCount === 1);
  clock.advance(2000);
  expect(link.isClosed).toBe(false);
  clock.advance(GREETING_TIMEOUT_MS);
  expect(link.isClosed).toBe(true);
  await mesh.close();
  busy.close();
});

test('what waits for a host to greet goes over the link that the host opens meanwhile', async () => {
  const mesh = createMesh('a');
  const busy = new BusyHost();
  await mesh.listen();
  const got: string[] = [];
  const advertised = await busy.listen();
  const abort = { kind: MeshKind.AbortTransaction, group: toGroupId('ledger') } as const;
  mesh.send(advertised, { ...abort, transaction: 'open' });
  const back = createMesh('c', timer, advertised);
  back.receive(MeshKind.AbortTransaction, ({ message }) => got.push(message.transaction));
  await back.listen();
  back.getLink(mesh.address);
  await waitFor(() => got.length > 0);
  expect(got).toEqual(['open']);
  busy.close();
  await Promise.all([mesh.close(), back.close()]);
});

async function waitFor(isDone: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200 && !isDone(); tries += 1) {
    await new Promise<void>((resolve) => timer.once(5, () => resolve()));
  }
  expect(isDone()).toBe(true);
}
