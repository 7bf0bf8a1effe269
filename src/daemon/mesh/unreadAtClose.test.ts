import { expect, test } from 'vitest';
import { toHostId, toIncarnation } from '../../common/ids/index.js';
import { Logger } from '../../common/logging/index.js';
import { Metrics } from '../../common/metrics/index.js';
import { SystemTimerService } from '../../common/timer/index.js';
import { Mesh } from './mesh.js';
import { MeshKind } from './meshKind.js';

/** Time for which the event loop is blocked while sent messages arrive unread, in milliseconds. */
const BLOCKED_MS = 100;
const timer = new SystemTimerService();
const logger = new Logger('error', {}, () => undefined);

async function listen(name: string): Promise<Mesh> {
  const identity = { host: toHostId(name), incarnation: toIncarnation(`${name}-1`) };
  const options = { ...identity, listen: '127.0.0.1:0', maximumFrameBytes: 1_000_000 };
  const mesh = new Mesh(options, timer, logger, new Metrics().meshTraffic);
  await mesh.listen();
  return mesh;
}

function blockEventLoop(): void {
  const endMs = timer.now() + BLOCKED_MS;
  while (timer.now() < endMs);
}

test('a request that is unread on a link when its holder stops is refused and not lost', async () => {
  const holder = await listen('holder');
  const entry = await listen('entry');
  holder.receive(MeshKind.AbortTransaction, ({ link }) => {
    link.send({ kind: MeshKind.LeaseRedirect, leader: 'refused' });
  });
  const answers: unknown[] = [];
  entry.receive(MeshKind.LeaseRedirect, ({ message }) => answers.push(message.leader));
  const link = entry.getLink(holder.address);
  await expect.poll(() => link.peer !== undefined && holder.count === 1).toBe(true);
  const order = { kind: MeshKind.AbortTransaction, group: 'g', transaction: 't' } as const;
  link.send(order as never);
  blockEventLoop();
  await holder.close();
  await expect.poll(() => link.isClosed).toBe(true);
  expect(answers).toEqual(['refused']);
  await entry.close();
});
