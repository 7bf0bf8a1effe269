import { expect, test } from 'vitest';
import { toHostId, toIncarnation } from '../../common/ids/index.js';
import { Logger } from '../../common/logging/index.js';
import { Metrics } from '../../common/metrics/index.js';
import {
  ManualTimerService,
  SystemTimerService,
  type TimerService,
} from '../../common/timer/index.js';
import { Mesh } from './mesh.js';
import { MeshKind } from './meshKind.js';
import type { MeshLink } from './meshLink.js';

const LISTEN = '127.0.0.1:0';
const timer = new SystemTimerService();

function createMesh(name: string, time: TimerService, metrics = new Metrics()): Mesh {
  const options = {
    ...{ host: toHostId(name), incarnation: toIncarnation(`${name}-1`), listen: LISTEN },
    maximumFrameBytes: 1_000_000,
  };
  const logger = new Logger('error', {}, () => undefined);
  return new Mesh(options, time, logger, metrics.meshTraffic);
}

/** A link whose own side lives by a clock that the test moves; the other side only answers. */
async function openLink(time: ManualTimerService, metrics = new Metrics()) {
  const mesh = createMesh('a', time, metrics);
  const peer = createMesh('b', new ManualTimerService());
  await mesh.listen();
  await peer.listen();
  const link = mesh.getLink(peer.address);
  await waitFor(() => link.peer !== undefined);
  const close = () => {
    link.close('the test is over');
    return Promise.all([mesh.close(), peer.close()]);
  };
  return { link, close };
}

/** Lets time pass in steps in which the other side can answer; gives the heartbeats sent meanwhile. */
async function advanceClock(
  steps: number,
  time: ManualTimerService,
  metrics: Metrics,
  use?: () => void,
) {
  const getCounts = async (direction: string) => {
    const text = await metrics.registry.metrics();
    const kind = direction === 'sent' ? 'Heartbeat' : 'HeartbeatAnswer';
    const name = `filbertpoint_mesh_messages_total{direction="${direction}",kind="${kind}"} `;
    return Number(text.split(name)[1]?.split('\n')[0] ?? 0);
  };
  const before = await getCounts('sent');
  for (let step = 0; step < steps; step += 1) {
    use?.();
    time.advance(250);
    const sent = await getCounts('sent');
    for (let tries = 0; tries < 200 && (await getCounts('received')) < sent; tries += 1) {
      await new Promise<void>((resolve) => timer.once(5, () => resolve()));
    }
  }
  return (await getCounts('sent')) - before;
}

function createSender(link: MeshLink): () => void {
  return () => link.send({ kind: MeshKind.LeaseRedirect });
}

test('links at rest cost a heartbeat a second, links in use four at most', async () => {
  const time = new ManualTimerService();
  const metrics = new Metrics();
  const { link, close } = await openLink(time, metrics);
  expect(await advanceClock(16, time, metrics, createSender(link))).toBeGreaterThan(8);
  await advanceClock(16, time, metrics);
  expect(await advanceClock(16, time, metrics)).toBeLessThanOrEqual(4);
  expect(link.isClosed).toBe(false);
  await close();
});

test('silence of a link that was at rest is found as soon after its use as without the rest', async () => {
  const time = new ManualTimerService();
  const metrics = new Metrics();
  const { link, close } = await openLink(time, metrics);
  await advanceClock(16, time, metrics);
  createSender(link)();
  // No answer can come in while time moves at once.
  time.advance(750);
  expect(link.isClosed).toBe(false);
  time.advance(500);
  expect(link.isClosed).toBe(true);
  await close();
});

async function waitFor(isDone: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200 && !isDone(); tries += 1) {
    await new Promise<void>((resolve) => timer.once(5, () => resolve()));
  }
  expect(isDone()).toBe(true);
}
