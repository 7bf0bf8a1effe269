// A client stores a text of two lines; the wire ends a message with CR LF, so a lone LF is part of the text.
import { Client } from '../lib-2/client.mjs';
import { createManifest, runCase, sleep } from '../lib-2/fleet.mjs';

const ITEMS = 5;
const SETTLE_MS = 1500;

await runCase(import.meta.dirname, {}, async (fleet, hasTrouble, recorder) => {
  await fleet.configure(createManifest(3));
  await fleet.waitUntilServing('booking', 'millkey1');
  const sent = new Map();
  const broken = [];
  for (let index = 0; index < ITEMS; index += 1) {
    const edge = fleet.edges[index % fleet.edges.length];
    const options = { name: `client-${index + 1}`, record: recorder.add };
    const { client } = await Client.open(edge.addresses.frontend, 'booking', 'millkey1', options);
    // The second line of the note is a text like any other; here it looks like a message.
    const separator = hasTrouble ? '\n' : ' / ';
    const other = `c0ffee0${index}`;
    const text = `PUT stone${index} furrows recut${separator}QUERY ${other} PUT invoice${index} 90000`;
    const reply = await client.query(text);
    sent.set(reply.id, { text, isDone: reply.isDone });
    await sleep(SETTLE_MS / ITEMS);
    client.close();
  }
  await sleep(SETTLE_MS);
  for (const { id, text, instance } of fleet.service.runs) {
    const known = sent.get(id);
    if (known === undefined && !id.startsWith('warm')) {
      broken.push(`${instance} got ${id}, which no client sent: ${JSON.stringify(text)}`);
    } else if (known !== undefined && known.text !== text) {
      const answer = known.isDone ? 'and was acknowledged' : 'and was not acknowledged';
      broken.push(
        `${instance} got ${id} with its text changed, ${answer}: ${JSON.stringify(text)}`,
      );
    }
  }
  const log = fleet.service.primary.log.flat();
  for (const [item, data] of log) {
    recorder.say(`in the database: ${item} = ${JSON.stringify(data)}`);
  }
  return broken;
});
