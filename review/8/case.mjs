// The primary's zone is evacuated while no other instance can take the lead.
import { Client } from '../lib-2/client.mjs';
import { createManifest, runCase, sleep } from '../lib-2/fleet.mjs';

const EVACUATE_MS = 5000;
const CRASH_MS = 7000;
const PAUSE_MS = 100;
/** Time from the crash to the operator's second order. */
const NOTICE_MS = 1000;

await runCase(import.meta.dirname, {}, async (fleet, hasTrouble, recorder) => {
  await fleet.configure(createManifest(3));
  await fleet.waitUntilServing('booking', 'millkey1');
  await sleep(1500);
  const [primary, second, third] = fleet.service.instances;
  const evacuate = async (zone) => {
    const { status } = await fleet.order('POST', `/filbertpoint/Drain.Begin/${zone}`);
    if (status !== 200) {
      throw new Error('an evacuation was not acknowledged');
    }
    recorder.say(`the evacuation of ${zone} was acknowledged`);
  };
  await evacuate(second.zone);
  const crashedMs = Date.now();
  if (hasTrouble) {
    await third.stop();
    recorder.say(`${third.id} in ${third.zone} crashed`);
  }
  await sleep(NOTICE_MS);
  await evacuate(primary.zone);
  const acknowledgedMs = Date.now();
  for (let index = 0; Date.now() < crashedMs + CRASH_MS; index += 1) {
    const edge = fleet.edges[index % fleet.edges.length];
    const options = { name: `client-${index + 1}`, record: recorder.add };
    const { client } = await Client.open(edge.addresses.frontend, 'booking', 'millkey1', options);
    await client.query('FETCH warm');
    await client.query(`PUT stone${index} recut`);
    client.close();
    await sleep(PAUSE_MS);
  }
  if (hasTrouble) {
    await third.start();
  }
  return fleet.service.runs
    .filter((run) => run.zone === primary.zone && run.atMs > acknowledgedMs + EVACUATE_MS)
    .map(
      (run) =>
        `${run.instance} in ${run.zone} got ${run.id} "${run.text}" ${run.atMs - acknowledgedMs} ms after the acknowledgement`,
    );
});
