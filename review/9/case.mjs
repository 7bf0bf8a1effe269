// A manifest arrives with a byte that is no text, so that it can't be read in full.
import { Client } from '../lib-2/client.mjs';
import { callHttp, createManifest, runCase, sleep } from '../lib-2/fleet.mjs';

const APPLY_MS = 3000;
const KEY = 'harvest-key-2';

await runCase(import.meta.dirname, {}, async (fleet, hasTrouble, recorder) => {
  const createTenants = (name) => [
    { name, apiKeys: ['millkey1', KEY], priority: 1, ratePerS: 88, burst: 88 },
  ];
  await fleet.configure(createManifest(3, { tenants: createTenants('mill') }));
  await fleet.waitUntilServing('booking', KEY);
  const body = Buffer.from(JSON.stringify(createManifest(5, { tenants: createTenants('mill') })));
  if (hasTrouble) {
    // An e with an accent as Latin-1 has it, before a letter: no UTF-8 text has that.
    body[body.indexOf(KEY) + 'harv'.length] = 0xe9;
  }
  const { status } = await fleet.order('POST', '/filbertpoint/Config.Replace', body);
  recorder.say(`the manifest of version 5 was answered with ${status}`);
  const broken = [];
  if (hasTrouble && status === 200) {
    broken.push('a manifest that cannot be read in full was acknowledged');
  }
  await sleep(APPLY_MS);
  const [control] = fleet.controls;
  const fetched = await callHttp(control.addresses.control, 'GET', '/filbertpoint/Config.Fetch');
  const { version } = JSON.parse(fetched.body);
  recorder.say(
    `read back: version ${version}, ${Buffer.byteLength(fetched.body)} bytes; sent: ${body.length} bytes`,
  );
  if (version === 5 && !fetched.raw.equals(body)) {
    broken.push('the manifest that is read back is not what was sent under its number');
  }
  for (const edge of fleet.edges) {
    const { client, reply } = await Client.open(edge.addresses.frontend, 'booking', KEY);
    recorder.say(
      `${edge.node} answers CONNECT with the key ${KEY}: ${JSON.stringify(reply.lines)}`,
    );
    if (hasTrouble && reply.error === 'NOAUTH') {
      broken.push(
        `${edge.node} refuses the key ${KEY} of the last valid manifest: what is invalid is in force`,
      );
    }
    client.close();
  }
  return broken;
});
