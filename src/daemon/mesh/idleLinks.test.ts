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

function createMesh(name: string, clock: TimerService, metrics = new Metrics()): Mesh {
  const options = {
    ...{ host: toHostId(name), incarnation: toIncarnation(`${name}-1`), listen: LISTEN },
    maximumFrameBytes: 1_000_000,
  };
  const logger = new Logger('error', {}, () => undefined);
  return new Mesh(options, clock, logger, metrics.meshTraffic);
}

/**
 * Opens a link whose local side uses the test's clock; the clock of the other side does not
 * advance.
 */
async function openLink(clock: ManualTimerService, metrics = new Metrics()) {
  const mesh = createMesh('a', clock, metrics);
  const peer = createMesh('b', new ManualTimerService());
  await mesh.listen();
  await peer.listen();
  const link = mesh.getLink(peer.address);
  await waitFor(() => link.peer !== undefined);
  const close = () => {
    link.close('test finished');
    return Promise.all([mesh.close(), peer.close()]);
  };
  return { link, close };
}

/**
 * Advances the clock in steps in which the other side can answer, and returns the number of
 * heartbeats sent.
 */
async function advanceClock(
  steps: number,
  clock: ManualTimerService,
  metrics: Metrics,
  send?: () => void,
) {
  const getCounts = async (direction: string) => {
    const text = await metrics.registry.metrics();
    const kind = direction === 'sent' ? 'Heartbeat' : 'HeartbeatAnswer';
    const name = `filbertpoint_mesh_messages_total{direction="${direction}",kind="${kind}"} `;
    return Number(text.split(name)[1]?.split('\n')[0] ?? 0);
  };
  const before = await getCounts('sent');
  for (let step = 0; step < steps; step += 1) {
    send?.();
    clock.advance(250);
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

test('an idle link sends at most one heartbeat a second, a link in use more than two', async () => {
  const clock = new ManualTimerService();
  const metrics = new Metrics();
  const { link, close } = await openLink(clock, metrics);
  expect(await advanceClock(16, clock, metrics, createSender(link))).toBeGreaterThan(8);
  await advanceClock(16, clock, metrics);
  expect(await advanceClock(16, clock, metrics)).toBeLessThanOrEqual(4);
  expect(link.isClosed).toBe(false);
  await close();
});

test('an unresponsive link is closed equally soon after a message whether or not it was idle', async () => {
  const clock = new ManualTimerService();
  const metrics = new Metrics();
  const { link, close } = await openLink(clock, metrics);
  await advanceClock(16, clock, metrics);
  createSender(link)();
  // The clock advances synchronously, so that no answer can be received in the meantime.
  clock.advance(750);
  expect(link.isClosed).toBe(false);
  clock.advance(500);
  expect(link.isClosed).toBe(true);
  await close();
});

async function waitFor(isDone: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200 && !isDone(); tries += 1) {
    await new Promise<void>((resolve) => timer.once(5, () => resolve()));
  }
  expect(isDone()).toBe(true);
}
