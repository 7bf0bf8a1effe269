import { afterAll, beforeAll, expect, test } from 'vitest';
import { toFailureDomain, toHostId, toIncarnation } from '../../common/ids/index.js';
import { Logger } from '../../common/logging/index.js';
import { SystemTimerService } from '../../common/timer/index.js';
import { DaemonRecords } from '../../decisions/control/index.js';
import { Metrics } from '../../common/metrics/index.js';
import { Mesh, MeshKind } from '../mesh/index.js';
import { ControlRoute } from './controlRoute.js';
import { LeaseTask } from './leaseTask.js';

const SEARCH_MS = 600;
/** A renewal each 50 ms, and as many again for first attempts and links that open. */
const MAXIMUM_RENEWALS = (2 * SEARCH_MS) / 50;

const timer = new SystemTimerService();
const logger = new Logger('error', {}, () => undefined);
const control = createMesh('control');
const daemon = createMesh('daemon');

function createMesh(host: string): Mesh {
  const options = {
    ...{ host: toHostId(host), incarnation: toIncarnation(host), listen: '127.0.0.1:0' },
    maximumFrameBytes: 1_000_000,
  };
  return new Mesh(options, timer, logger, new Metrics().meshTraffic);
}

function createTask(): LeaseTask {
  const identity = {
    ...{ host: toHostId('daemon'), incarnation: toIncarnation('daemon') },
    domain: toFailureDomain('a'),
  };
  const route = new ControlRoute(() => [control.address]);
  return new LeaseTask(identity, daemon, route, new DaemonRecords(), timer, logger, () => ({
    ...{ reports: [], releasedGroups: [], releasedAccounts: [], stopping: false },
  }));
}

beforeAll(async () => {
  await control.listen();
  await daemon.listen();
});
afterAll(async () => {
  await daemon.close();
  await control.close();
});

test('a daemon asks for a lease at its own pace while no leader is known', async () => {
  let renewals = 0;
  control.receive(MeshKind.LeaseRenewal, ({ link }) => {
    renewals += 1;
    link.send({ kind: MeshKind.LeaseRedirect });
  });
  const task = createTask();
  task.start();
  await new Promise<void>((resolve) => timer.once(SEARCH_MS, () => resolve()));
  task.stop();
  expect(renewals).toBeGreaterThan(0);
  expect(renewals).toBeLessThanOrEqual(MAXIMUM_RENEWALS);
});
