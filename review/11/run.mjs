// A control host is replaced as planned. Once its successor has had its time and the old host is gone,
// another control host loses its disk.
import { dirname, join } from 'node:path';
import { rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { call, sleep } from '../lib-3/client.mjs';
import { createManifest, Fleet, hasTrouble, play } from '../lib-3/fleet.mjs';

const CATCH_UP_MS = 4000;
const GRACE_MS = 6000;
const RECOVERY_MS = 12_000;
const CONTACT_MS = 4000;
/** Time between the end of the replaced host and the loss of the disk. */
const BETWEEN_MS = 500;
const REQUESTS_MS = 10_000;
const KEY = 'key-of-members';

const folder = dirname(fileURLToPath(import.meta.url));
const group = { slots: 5, maxConns: 54, workMs: 11, handshakeMs: 27, lagMs: 20, promoteMs: 600 };
const fleet = new Fleet(folder, {
  ...{ controls: 4, entries: 3, later: ['core-4'] },
  groups: { ledger: group },
});
const version = 7;
const manifest = createManifest(version, {
  routes: [{ host: 'books', service: 'ledger', timeoutMs: 2000 }],
  services: ['ledger'],
  tenants: [{ name: 'members', apiKeys: [KEY] }],
});

/** Sends single writes through all entry hosts for a while; returns the share that succeeded. */
async function serve(durationMs) {
  const endMs = Date.now() + durationMs;
  const answers = {};
  let sent = 0;
  let served = 0;
  while (Date.now() < endMs) {
    for (const entry of fleet.entries) {
      sent += 1;
      const client = await fleet.connect(entry, 'books', KEY, `r${sent}x`);
      const reply = client.refusal === undefined ? await client.query(`PUT a ${sent}`) : undefined;
      client.close();
      const answer = client.refusal ?? reply.error ?? 'served';
      answers[answer] = (answers[answer] ?? 0) + 1;
      served += answer === 'served' ? 1 : 0;
    }
    await sleep(50);
  }
  fleet.record(`${sent} requests: ${JSON.stringify(answers)}`);
  return served / sent;
}

/** Reads the manifest back as the operator does at the end of a day. */
async function readBack(hosts) {
  const endMs = Date.now() + 2 * CONTACT_MS;
  let backoffMs = 100;
  for (let index = 0; Date.now() < endMs; index += 1) {
    const { control, node } = hosts[index % hosts.length];
    const { status, body } = await call(control, 'GET', '/filbertpoint/Config.Fetch');
    fleet.record(`read at ${node}: status ${status}`);
    if (status === 200) return JSON.parse(body).version;
    await sleep(backoffMs);
    backoffMs = Math.min(800, 2 * backoffMs);
  }
  return undefined;
}

await play(fleet, async () => {
  const [wiped, , replaced, spare] = fleet.controls;
  await fleet.configure(manifest);
  await fleet.waitReady([['books', KEY]]);
  await sleep(CATCH_UP_MS);
  const before = await serve(2000);
  if (hasTrouble) {
    // The new machine first; then SIGTERM to the old one, once its successor has had its time.
    fleet.startDaemon(spare);
    await sleep(CATCH_UP_MS + 1000);
    fleet.signal(replaced, 'SIGTERM');
    const endMs = Date.now() + GRACE_MS;
    while (replaced.exit === undefined && Date.now() < endMs) await sleep(20);
    await sleep(BETWEEN_MS);
    fleet.signal(wiped, 'SIGKILL');
    await sleep(300);
    rmSync(join(fleet.folder, wiped.node), { recursive: true, force: true });
    fleet.record(`${wiped.node} has lost its disk`);
    await sleep(700);
    fleet.startDaemon(wiped);
  }
  await sleep(RECOVERY_MS + 1000);
  const after = await serve(REQUESTS_MS);
  const hosts = hasTrouble
    ? fleet.controls.filter((each) => each !== replaced)
    : fleet.controls.filter((each) => each !== spare);
  const read = await readBack(hosts);
  fleet.record(`served before: ${before.toFixed(2)}, after: ${after.toFixed(2)}`);
  fleet.record(`read back: version ${read}`);
  return after >= 0.25 && read === version;
});
