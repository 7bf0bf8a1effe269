// No case: what REPORT-2.md tells under "Shown, but not among the five". Run it as
//   node review/lib-2/openTransactions.mjs FOLDER
// A zone is evacuated while clients are in the middle of read-only transactions; with TROUBLE=0 it is not.
import { Client } from './client.mjs';
import { createManifest, runCase, sleep } from './fleet.mjs';

const CLIENTS = 12;
const STATEMENTS = 10;
const PAUSE_MS = 1500;
const EVACUATE_MS = 5000;

await runCase(process.argv[2] ?? '.', {}, async (fleet, hasTrouble, recorder) => {
  await fleet.configure(createManifest(3));
  await fleet.waitUntilServing('booking', 'millkey1');
  await sleep(PAUSE_MS);
  const clients = [];
  for (let index = 0; index < CLIENTS; index += 1) {
    const edge = fleet.edges[index % fleet.edges.length];
    const options = { name: `client-${index + 1}`, record: recorder.add };
    const { client } = await Client.open(edge.addresses.frontend, 'lookup', 'millkey1', options);
    clients.push(client);
  }
  const askAll = (text) => Promise.all(clients.map((client) => client.query(text)));
  await askAll('BEGIN FETCH');
  await askAll('FETCH warm');
  // A zone with an instance that runs such a transaction, and that doesn't lead.
  const zone = fleet.service.runs.find(
    (run) => run.text.startsWith('FETCH') && run.instance !== fleet.service.primary.id,
  )?.zone;
  if (zone === undefined) {
    throw new Error('no replica runs a transaction');
  }
  let acknowledgedMs = Infinity;
  if (hasTrouble) {
    const { status } = await fleet.order('POST', `/filbertpoint/Drain.Begin/${zone}`);
    if (status !== 200) {
      throw new Error('the evacuation was not acknowledged');
    }
    acknowledgedMs = Date.now();
    recorder.say(`the evacuation of ${zone} was acknowledged`);
  }
  for (let statement = 2; statement < STATEMENTS; statement += 1) {
    await sleep(PAUSE_MS);
    await askAll('FETCH warm');
  }
  await askAll('COMMIT');
  return fleet.service.runs
    .filter((run) => run.zone === zone && run.atMs > acknowledgedMs + EVACUATE_MS)
    .map(
      (run) =>
        `${run.instance} in ${zone} got ${run.id} "${run.text}" ${run.atMs - acknowledgedMs} ms after the acknowledgement`,
    );
});
