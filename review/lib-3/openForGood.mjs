// Keys of a busy tenant are taken away again and again: transactions whose next statement waited for a
// slot then stay open at the instance for good, and hold their connections.
// node review/lib-3/openForGood.mjs FOLDER: exit status 1 if any is open 20 s after its session ended.
import { createManifest, Fleet, hasTrouble, play } from './fleet.mjs';
import { sleep } from './client.mjs';

const ROUNDS = 12;
const SESSIONS = 12;
const LONG_MS = 20_000;
const group = { slots: 2, maxConns: 16, workMs: 15, handshakeMs: 12, lagMs: 8, promoteMs: 600 };
const fleet = new Fleet(process.argv[2], { controls: 3, entries: 3, groups: { ledger: group } });
let version = 7;
let keyNumber = 1;
let isOver = false;

const getKey = () => `key-of-ann-${keyNumber}`;

function configure() {
  version += 1;
  return fleet.configure(
    createManifest(version, {
      routes: [{ host: 'books', service: 'ledger' }],
      services: ['ledger'],
      tenants: [
        { name: 'ann', apiKeys: [getKey()] },
        { name: 'cat', apiKeys: ['key-of-cat'] },
      ],
    }),
  );
}

/** One caller: transactions of 11 statements, with a rest after the first. */
async function work(entry, number) {
  for (let count = 0; !isOver; count += 1) {
    const client = await fleet.connect(entry, 'books', getKey(), `s${number}c${count}x`);
    let mayGoOn = client.refusal === undefined;
    while (mayGoOn && !isOver) {
      let reply = await client.query('BEGIN');
      for (let index = 0; index < 11 && reply.error === undefined; index += 1) {
        reply = await client.query(
          index % 2 === 0 ? `PUT a${number} ${index}` : `FETCH a${number}`,
        );
        if (index === 0) await sleep(200);
      }
      if (reply.error === undefined) reply = await client.query('COMMIT');
      mayGoOn = reply.lost !== true && reply.error !== 'NOAUTH' && !client.isClosed;
      if (mayGoOn && reply.state === 'E') await client.query('ROLLBACK');
      await sleep(50);
    }
    client.close();
    await sleep(50);
  }
}

await play(fleet, async () => {
  await configure();
  await fleet.waitReady([['books', 'key-of-cat']]);
  const callers = Array.from({ length: SESSIONS }, (_, n) => work(fleet.entries[n % 3], n));
  await sleep(1500);
  for (let round = 0; round < ROUNDS; round += 1) {
    if (hasTrouble) {
      keyNumber += 1;
      await configure();
    }
    await sleep(2500);
  }
  isOver = true;
  await Promise.all(callers);
  await sleep(LONG_MS);
  const open = fleet.instances.flatMap(({ connections }) =>
    [...connections].filter(({ transaction }) => transaction !== undefined),
  );
  fleet.record(`${open.length} transactions are open ${LONG_MS} ms after the last session ended`);
  return open.length === 0;
});
