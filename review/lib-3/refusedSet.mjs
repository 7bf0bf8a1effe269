// An instance answers one SET with BUSY ("no run"); the connection is used again as if it had run.
// node review/lib-3/refusedSet.mjs FOLDER: exit status 1 if a statement ran without an acknowledged value.
import { createManifest, Fleet, hasTrouble, play } from './fleet.mjs';

const KEY = 'key-of-dressers';
const group = { slots: 2, maxConns: 16, workMs: 4, handshakeMs: 12, lagMs: 8, promoteMs: 600 };
const fleet = new Fleet(process.argv[2], { controls: 3, entries: 1, groups: { ledger: group } });
const manifest = createManifest(7, {
  routes: [{ host: 'books', service: 'ledger' }],
  services: ['ledger'],
  tenants: [{ name: 'dressers', apiKeys: [KEY] }],
});

await play(fleet, async () => {
  await fleet.configure(manifest);
  await fleet.waitReady([['books', KEY]]);
  const [service] = fleet.groups;
  let isRefused = !hasTrouble;
  service.getTrouble = ({ text }) => {
    if (isRefused || !text.startsWith('SET ')) return undefined;
    isRefused = true;
    return 'busy';
  };
  const wrong = [];
  service.onRun = ({ connection, id, text }) => {
    const { tz } = Object.fromEntries(connection.values);
    fleet.record(`${id} ${text} runs with tz ${tz}`);
    if (tz !== 'Dodoma') wrong.push(id);
  };
  const client = await fleet.connect(fleet.entries[0], 'books', KEY, 's');
  const set = await client.query('SET tz Dodoma');
  fleet.record(`SET is answered with ${set.error ?? 'DONE'}`);
  for (let count = 0; count < 5; count += 1) {
    const { id, error } = await client.query(`PUT stone ${count}`);
    fleet.record(`${id}: ${error ?? 'served'}`);
  }
  client.close();
  return wrong.length === 0;
});
