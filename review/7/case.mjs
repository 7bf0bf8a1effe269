// A key is taken away while clients that came with it are in the middle of a transaction.
import { Client } from '../lib-2/client.mjs';
import { createManifest, runCase, sleep } from '../lib-2/fleet.mjs';

const CLIENTS = 6;
const PAUSE_MS = 1500;
const PAUSES = 5;
const APPLY_MS = 3000;

await runCase(import.meta.dirname, {}, async (fleet, hasTrouble, recorder) => {
  const createTenants = (apiKeys) => [
    { name: 'mill', apiKeys, priority: 1, ratePerS: 88, burst: 88 },
  ];
  await fleet.configure(createManifest(3, { tenants: createTenants(['millkey1', 'stolenkey']) }));
  await fleet.waitUntilServing('booking', 'millkey1');
  const clients = [];
  for (let index = 0; index < CLIENTS; index += 1) {
    const edge = fleet.edges[index % fleet.edges.length];
    const options = { name: `client-${index + 1}`, record: recorder.add };
    const { client } = await Client.open(edge.addresses.frontend, 'booking', 'stolenkey', options);
    clients.push(client);
  }
  const askAll = (createText) =>
    Promise.all(clients.map((client, index) => client.query(createText(index))));
  await askAll(() => 'BEGIN');
  await askAll((index) => `PUT invoice${index} paid`);
  let confirmedMs = Infinity;
  if (hasTrouble) {
    const { status } = await fleet.configure(
      createManifest(5, { tenants: createTenants(['millkey1']) }),
    );
    if (status !== 200) {
      throw new Error('the manifest was not confirmed');
    }
    confirmedMs = Date.now();
    recorder.say('the manifest without the key was confirmed');
  }
  for (let pause = 0; pause < PAUSES; pause += 1) {
    await sleep(PAUSE_MS);
    await askAll(() => `SET clerk asha${pause}`);
  }
  const sentMs = Date.now();
  const answers = await askAll(() => 'COMMIT');
  recorder.say(
    `COMMIT was answered: ${answers.map(({ isDone, error }) => (isDone ? 'DONE' : error)).join(', ')}`,
  );
  const ids = new Set(answers.map(({ id }) => id));
  return fleet.service.runs
    .filter((run) => ids.has(run.id) && sentMs > confirmedMs + APPLY_MS)
    .map(
      (run) =>
        `${run.instance} ran COMMIT ${run.id}, sent ${sentMs - confirmedMs} ms after the confirmation of the manifest without its key`,
    );
});
