// No case: what REPORT-2.md tells under "Shown, but not among the five". Run it as
//   node review/lib-2/manyValues.mjs FOLDER
// One client sets many large session values, each of them within the limit of a message; with TROUBLE=0 they are small.
import { Client } from './client.mjs';
import { createManifest, runCase, sleep } from './fleet.mjs';

const VALUE_BYTES = 1_000_000;
const VALUES = 200;
const ROUNDS = 3;
const BYSTANDERS = 6;
const PAUSE_MS = 50;
const RECONNECT_MS = 300;
/** Ends of a machine's processes, and machines with so many, from which the rule is broken. */
const ENDS = 3;
const MACHINES = 2;

await runCase(process.argv[2] ?? '.', {}, async (fleet, hasTrouble, recorder) => {
  await fleet.configure(createManifest(3));
  await fleet.waitUntilServing('booking', 'millkey1');
  let isOver = false;
  let unanswered = 0;
  const stand = async (index) => {
    for (let count = 0; !isOver; count += 1) {
      const edge = fleet.edges[index % fleet.edges.length];
      const { client, reply } = await Client.open(edge.addresses.frontend, 'record', 'millkey1');
      while (reply.state === 'I' && !client.isClosed && !isOver) {
        const answer = await client.query(`PUT stone${index} furrow${count}`);
        unanswered += answer.isLost === true && !isOver ? 1 : 0;
        await sleep(PAUSE_MS);
      }
      client.close();
      await sleep(RECONNECT_MS);
    }
  };
  const bystanders = Array.from({ length: BYSTANDERS }, (_, index) => stand(index));
  const value = 'x'.repeat(hasTrouble ? VALUE_BYTES : VALUE_BYTES / 10_000);
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const edge of fleet.edges) {
      const { client } = await openAgain(edge);
      let count = 0;
      for (; count < VALUES && !client.isClosed; count += 1) {
        const answer = await client.send(
          `QUERY set${round}x${count} SET document${count} ${value}`,
        );
        if (answer.isDone !== true) {
          break;
        }
      }
      recorder.say(
        `round ${round + 1}, ${edge.node}: ${count} values of ${value.length} bytes were acknowledged`,
      );
      client.close();
      await sleep(RECONNECT_MS);
    }
  }
  isOver = true;
  await Promise.all(bystanders);
  recorder.say(`statements of other clients that were cut off without an answer: ${unanswered}`);
  for (const { node, ends } of fleet.daemons) {
    recorder.say(`${node}: ended by itself ${ends.length} times (${ends.join(', ')})`);
  }
  const often = fleet.daemons.filter(({ ends }) => ends.length >= ENDS);
  return often.length >= MACHINES
    ? often.map(
        ({ node, ends }) =>
          `the process on ${node} ended by itself ${ends.length} times with no impairment there`,
      )
    : [];
});

/** Connects, also to a machine whose process is about to start again. */
async function openAgain(edge) {
  for (;;) {
    const opened = await Client.open(edge.addresses.frontend, 'booking', 'millkey1', {
      name: 'client with documents',
    });
    if (opened.reply.state === 'I') {
      return opened;
    }
    await sleep(RECONNECT_MS);
  }
}
