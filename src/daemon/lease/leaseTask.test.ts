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
/** Maximum number of renewals: one every 50 ms, doubled for first attempts and opening links. */
const MAXIMUM_RENEWALS = (2 * SEARCH_MS) / 50;

/**
 * Time for which a leader under load does not answer; it has to process all renewals sent until
 * then.
 */
const SLOW_SEARCH_MS = 1600;
/**
 * Maximum number of renewals sent to the slow leader: the first one, those after 100, 300, 700, 1100
 * and 1500 ms, and two more for links that open slowly.
 */
const MAXIMUM_UNANSWERED_RENEWALS = 8;

const timer = new SystemTimerService();
const logger = new Logger('error', {}, () => undefined);
const control = createMesh('control');
const daemon = createMesh('daemon');
const slowLeader = createMesh('slow-leader');
const searching = createMesh('searching');

function createMesh(host: string): Mesh {
  const options = {
    ...{ host: toHostId(host), incarnation: toIncarnation(host), listen: '127.0.0.1:0' },
    maximumFrameBytes: 1_000_000,
  };
  return new Mesh(options, timer, logger, new Metrics().meshTraffic);
}

function createTask(mesh = daemon, addresses = () => [control.address]): LeaseTask {
  const identity = {
    ...{ host: toHostId('daemon'), incarnation: toIncarnation('daemon') },
    domain: toFailureDomain('a'),
  };
  const route = new ControlRoute(addresses);
  return new LeaseTask(identity, mesh, route, new DaemonRecords(), timer, logger, () => ({
    ...{ reports: [], releasedGroups: [], releasedAccounts: [], stopping: false },
  }));
}

beforeAll(async () => {
  await Promise.all([control, daemon, slowLeader, searching].map((mesh) => mesh.listen()));
});
afterAll(async () => {
  await Promise.all([control, daemon, slowLeader, searching].map((mesh) => mesh.close()));
});

test('a daemon requests a lease at its check interval while control hosts report no leader', async () => {
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

test('renewals to a slow leader are limited by the backoff, whichever host names it', async () => {
  let renewals = 0;
  const follower = createMesh('follower');
  await follower.listen();
  follower.receive(MeshKind.LeaseRenewal, ({ link }) => {
    link.send({ kind: MeshKind.LeaseRedirect, leader: slowLeader.address });
  });
  slowLeader.receive(MeshKind.LeaseRenewal, () => {
    renewals += 1;
  });
  const task = createTask(searching, () => [follower.address, slowLeader.address]);
  task.start();
  await new Promise<void>((resolve) => timer.once(SLOW_SEARCH_MS, () => resolve()));
  task.stop();
  await follower.close();
  expect(renewals).toBeGreaterThan(1);
  expect(renewals).toBeLessThanOrEqual(MAXIMUM_UNANSWERED_RENEWALS);
});
