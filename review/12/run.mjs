// The control host that leads is replaced as planned; then the operator reads the manifest back.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { call, sleep } from '../lib-3/client.mjs';
import { createManifest, Fleet, hasTrouble, play } from '../lib-3/fleet.mjs';

/** Bounds of the site: the read-back takes at least this long, and a machine is in touch after it. */
const CONTACT_MS = 4000;
const CATCH_UP_MS = 4000;
const GRACE_MS = 6000;
/** "a second without a response" */
const PATIENCE_MS = 1000;
const FIRST_BACKOFF_MS = 100;
const KEY = 'key-of-dressers';

const folder = dirname(fileURLToPath(import.meta.url));
const group = { slots: 2, maxConns: 16, workMs: 4, handshakeMs: 12, lagMs: 8, promoteMs: 600 };
const fleet = new Fleet(folder, {
  ...{ controls: 5, entries: 2, later: ['core-5'] },
  groups: { ledger: group },
});
const createVersion = (version) =>
  createManifest(version, {
    routes: [{ host: 'books', service: 'ledger' }],
    services: ['ledger'],
    tenants: [{ name: 'dressers', apiKeys: [KEY] }],
  });

/** The control host that became leader last, by what the hosts log. */
function findLeader() {
  const times = fleet.controls.map((daemon) => {
    const lines = fleet.readLog(daemon).split('\n');
    const won = lines.filter((line) => line.includes('This control host is now leader.')).at(-1);
    return { daemon, time: /time=(\S+)/.exec(won ?? '')?.[1] ?? '' };
  });
  return times.sort((left, right) => (left.time < right.time ? 1 : -1))[0].daemon;
}

/** Reads the manifest at one host; true if it is the acknowledged one. */
async function read(daemon, version) {
  const sinceMs = Date.now();
  const path = '/filbertpoint/Config.Fetch';
  const { status, body } = await call(daemon.control, 'GET', path, '', PATIENCE_MS);
  const found = status === 200 ? JSON.parse(body).version : undefined;
  const took = Date.now() - sinceMs;
  fleet.record(`read at ${daemon.node}: status ${status}, version ${found}, ${took} ms`);
  return found === version;
}

await play(fleet, async () => {
  const spare = fleet.controls[4];
  await fleet.configure(createVersion(7));
  await fleet.waitReady([['books', KEY]]);
  const leader = findLeader();
  fleet.record(`${leader.node} leads; it is to be replaced by ${spare.node}`);
  // The new machine comes first, and has the time to catch up.
  fleet.startDaemon(spare);
  await sleep(CATCH_UP_MS + 1000);
  // The operator works with every host while the old leader leads.
  let version = 7;
  for (const { control, node } of fleet.controls) {
    version += 1;
    const body = JSON.stringify(createVersion(version));
    const { status } = await call(control, 'POST', '/filbertpoint/Config.Replace', body, 3000);
    fleet.record(`manifest ${version} to ${node}: ${status}`);
    if (status !== 200) throw new Error(`${node} did not take a manifest`);
  }
  if (findLeader() !== leader) throw new Error('the leader has changed');
  if (hasTrouble) {
    fleet.signal(leader, 'SIGTERM');
    const endMs = Date.now() + GRACE_MS;
    while (leader.exit === undefined && Date.now() < endMs) await sleep(20);
  }
  // Until the core is stable and every machine in touch.
  await sleep(2 * CONTACT_MS);
  const hosts = fleet.controls.filter((each) => each !== leader || !hasTrouble);
  const startMs = Date.now();
  let backoffMs = FIRST_BACKOFF_MS;
  let isRead = false;
  for (let index = 0; Date.now() - startMs < CONTACT_MS && !isRead; index += 1) {
    isRead = await read(hosts[index % hosts.length], version);
    if (!isRead) await sleep(backoffMs);
    backoffMs *= 2;
  }
  fleet.record(isRead ? 'the manifest was read back' : `no manifest came within ${CONTACT_MS} ms`);
  return isRead;
});
