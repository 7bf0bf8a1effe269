import { afterEach, beforeEach, expect, test } from 'vitest';
import {
  toFailureDomain,
  toHostId,
  toIncarnation,
  toRequestId,
  toRevision,
  toTicketNumber,
} from '../../common/ids/index.js';
import { Logger } from '../../common/logging/index.js';
import { Metrics } from '../../common/metrics/index.js';
import { ManualTimerService, SystemTimerService } from '../../common/timer/index.js';
import { ControlRoute } from '../lease/index.js';
import { Mesh, MeshKind } from '../mesh/index.js';
import { RequestIds } from '../requests/index.js';
import { MeshControlClient } from './meshControlClient.js';

/** Time after which operators send an order to another host. */
const CALLER_TIMEOUT_MS = 1000;
const STEP_MS = 50;
const MARKER = toRequestId('marker');

const timer = new SystemTimerService();
const logger = new Logger('error', {}, () => undefined);
const receiver = { announce: () => undefined, announceDeparture: () => undefined };
let meshes: readonly Mesh[];
let client: MeshControlClient;
let clock: ManualTimerService;
/** Number of calls that each of the two control hosts received. */
let received: [number, number];
let isMarked: boolean;

function createMesh(host: string): Mesh {
  const options = {
    ...{ host: toHostId(host), incarnation: toIncarnation(host), listen: '127.0.0.1:0' },
    maximumFrameBytes: 1_000_000,
  };
  return new Mesh(options, timer, logger, new Metrics().meshTraffic);
}

beforeEach(async () => {
  const [own, ...controls] = ['own', 'c0', 'c1'].map(createMesh) as [Mesh, Mesh, Mesh];
  meshes = [own, ...controls];
  await Promise.all(meshes.map((mesh) => mesh.listen()));
  received = [0, 0];
  isMarked = false;
  for (const [index, mesh] of controls.entries()) {
    mesh.receive(MeshKind.ControlCall, ({ message }) => {
      isMarked ||= message.id === MARKER;
      received[index === 0 ? 0 : 1] += message.id === MARKER ? 0 : 1;
    });
  }
  clock = new ManualTimerService();
  const route = new ControlRoute(() => controls.map(({ address }) => address));
  const ids = new RequestIds(toIncarnation('own'));
  client = new MeshControlClient(own, route, ids, clock, receiver);
});
afterEach(() => Promise.all(meshes.map((mesh) => mesh.close())));

/** Advances time in steps, between which promises are settled. */
async function advance(durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
    clock.advance(STEP_MS);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Has the first control host answer calls as leader. */
function answerAsLeader(): void {
  const leader = meshes[1];
  leader?.receive(MeshKind.ControlCall, ({ link, message }) => {
    const { address } = leader;
    link.send({ kind: MeshKind.ControlAnswer, id: message.id, content: [], leader: address });
  });
}

// Guards against orders that wait for a suspended host because the leader's answers were not noted.
test('calls go to the leader that answered the last one, however long ago that was', async () => {
  answerAsLeader();
  for (let count = 0; count < 3; count += 1) {
    expect((await client.readTicket(toTicketNumber(1))).isOk()).toBe(true);
    clock.advance(60_000);
  }
  expect(received).toEqual([3, 0]);
});

// Guards against orders that reach no host before their callers give up.
test('an order is sent to a second host while its caller waits', async () => {
  const order = client.switchDomain(toFailureDomain('north'), false, toRevision(0));
  await expect.poll(() => received).toEqual([1, 0]);
  await advance(CALLER_TIMEOUT_MS / 2);
  await expect.poll(() => received).toEqual([1, 1]);
  await advance(60_000);
  expect((await order).isErr()).toBe(true);
});

test('a read of all subjects waits longer for the host that creates its answer', async () => {
  const read = client.readInForce(undefined);
  await expect.poll(() => received).toEqual([1, 0]);
  await advance(CALLER_TIMEOUT_MS / 2);
  // A link keeps the order of messages: a call sent before this one would have been received.
  const [own, , second] = meshes;
  const content = { kind: 'marker' };
  own?.send(second?.address ?? '', { kind: MeshKind.ControlCall, id: MARKER, content });
  await expect.poll(() => isMarked).toBe(true);
  expect(received).toEqual([1, 0]);
  await advance(60_000);
  expect((await read).isErr()).toBe(true);
});
