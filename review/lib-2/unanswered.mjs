// No case: what REPORT-2.md tells under "Seen, but no rule covers it". Run it as
//   node review/lib-2/unanswered.mjs FOLDER
// It crashes each instance once, for 5 s, and prints how long the slowest statement waited for its answer (its
// route's time-out is 800 ms), and how many connections each instance was asked to accept.
import { Client } from './client.mjs';
import { createManifest, runCase, sleep } from './fleet.mjs';

const CLIENTS = 60;
const LENGTH_MS = 42_000;
const CRASH_MS = 5000;
/** Time after its return at which an instance reports; below the interval of its reports, 1.2 s. */
const REPORT_MS = 900;
const RECOVERY_MS = 3500;
const PATIENCE_MS = 12_000;
const LATE_MS = 3000;

const options = {
  service: { slots: 2, workMs: 20 },
  isBeating: (instance) => instance.isSilent !== true,
};
await runCase(process.argv[2] ?? '.', options, async (fleet, hasTrouble, recorder) => {
  const tenants = [
    { name: 'mill', apiKeys: ['millkey1'], priority: 1, ratePerS: 5000, burst: 5000 },
  ];
  await fleet.configure(createManifest(3, { timeoutMs: 800, tenants }));
  await fleet.waitUntilServing('booking', 'millkey1');
  await sleep(1500);
  const endMs = Date.now() + LENGTH_MS;
  const late = [];
  const ask = async (index) => {
    while (Date.now() < endMs) {
      const edge = fleet.edges[index % fleet.edges.length];
      const route = ['booking', 'lookup', 'record', 'record'][index % 4];
      const { client } = await Client.open(edge.addresses.frontend, route, 'millkey1');
      while (!client.isClosed && Date.now() < endMs) {
        const sentMs = Date.now();
        const text = index % 2 === 0 ? `PUT stone${index} furrow` : 'FETCH warm';
        const answer = await Promise.race([client.query(text), sleep(PATIENCE_MS)]);
        const waitedMs = Date.now() - sentMs;
        if (waitedMs > LATE_MS) {
          late.push(
            `"${text}" at ${edge.node} had ${answer === undefined ? 'no answer' : 'its answer only'} after ${waitedMs} ms`,
          );
        }
        if (answer === undefined) {
          client.close();
        }
        await sleep(100);
      }
      client.close();
      await sleep(100);
    }
  };
  const asking = Array.from({ length: CLIENTS }, (_, index) => ask(index));
  await sleep(3000);
  for (const instance of hasTrouble ? fleet.service.instances : []) {
    recorder.say(`${instance.id} (${instance.role}) crashes`);
    await instance.stop();
    await sleep(CRASH_MS);
    Object.assign(instance, { born: Date.now(), sequence: 0, isSilent: true });
    await instance.start();
    if (instance.role !== 'primary') {
      instance.receive(fleet.service.primary);
    }
    await sleep(REPORT_MS);
    instance.isSilent = false;
    void fleet.announce(instance);
    await sleep(RECOVERY_MS);
  }
  await Promise.all(asking);
  for (const { id, accepted } of fleet.service.instances) {
    recorder.say(`${id} accepted ${accepted} connections`);
  }
  return late;
});
