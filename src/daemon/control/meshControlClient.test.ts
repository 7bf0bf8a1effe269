import { afterEach, beforeEach, expect, test } from 'vitest';
import { toHostId, toIncarnation, toTicketNumber } from '../../common/ids/index.js';
import { Logger } from '../../common/logging/index.js';
import { Metrics } from '../../common/metrics/index.js';
import { ManualTimerService, SystemTimerService } from '../../common/timer/index.js';
import { ControlRoute } from '../lease/index.js';
import { Mesh, MeshKind } from '../mesh/index.js';
import { RequestIds } from '../requests/index.js';
import { MeshControlClient } from './meshControlClient.js';

const timer = new SystemTimerService();
const logger = new Logger('error', {}, () => undefined);
const receiver = { announce: () => undefined, announceDeparture: () => undefined };
let meshes: readonly Mesh[];
let client: MeshControlClient;
let clock: ManualTimerService;
/** Number of calls that each of the two control hosts received. */
let received: number[];

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
  for (const [index, mesh] of controls.entries()) {
    mesh.receive(MeshKind.ControlCall, () => {
      received[index] = (received[index] ?? 0) + 1;
    });
  }
  clock = new ManualTimerService();
  const route = new ControlRoute(() => controls.map(({ address }) => address));
  const ids = new RequestIds(toIncarnation('own'));
  client = new MeshControlClient(own, route, ids, clock, receiver);
});
afterEach(() => Promise.all(meshes.map((mesh) => mesh.close())));

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
