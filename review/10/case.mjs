// A tenant has an API key with a letter beyond Latin-1; a client comes with another key.
import { Client } from '../lib-2/client.mjs';
import { createManifest, runCase, sleep } from '../lib-2/fleet.mjs';

const APPLY_MS = 3000;
/** No manifest ever holds it. */
const FOREIGN_KEY = 'aifra-42';

await runCase(import.meta.dirname, {}, async (fleet, hasTrouble, recorder) => {
  const mill = { name: 'mill', apiKeys: ['millkey1'], priority: 1, ratePerS: 88, burst: 88 };
  const own = hasTrouble ? 'šifra-42' : 'sifra-42';
  await fleet.configure(createManifest(3, { tenants: [mill] }));
  await fleet.waitUntilServing('booking', 'millkey1');
  const tenant = { name: 'mlyn', apiKeys: [own], priority: 1, ratePerS: 88, burst: 88 };
  await fleet.configure(createManifest(5, { tenants: [mill, tenant] }));
  recorder.say(`the manifest gives the tenant mlyn the key ${own}`);
  await sleep(APPLY_MS);
  for (const edge of fleet.edges) {
    for (const key of [own, FOREIGN_KEY]) {
      const options = { name: `client with ${key}`, record: recorder.add };
      const { client, reply } = await Client.open(edge.addresses.frontend, 'booking', key, options);
      recorder.say(
        `${edge.node} answers CONNECT with the key ${key}: ${JSON.stringify(reply.lines)}`,
      );
      if (reply.state === 'I') {
        await client.query(`FETCH warm`, `${key === own ? 'own' : 'foreign'}-${edge.node}-1`);
        await client.query(
          `PUT stone by-${key === own ? 'own' : 'foreign'}`,
          `${key === own ? 'own' : 'foreign'}-${edge.node}-2`,
        );
      }
      client.close();
    }
  }
  await sleep(1000);
  return fleet.service.runs
    .filter(({ id }) => id.startsWith('foreign-'))
    .map(
      ({ instance, tenant: name, id, text }) =>
        `${instance} ran ${id} "${text}" for the tenant ${name}; its key ${FOREIGN_KEY} was in no manifest`,
    );
});
