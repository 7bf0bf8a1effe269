// One control machine is suspended while the operator takes an evacuation back there; the operator gives up, has
// both the withdrawal and a new evacuation confirmed by another machine, and the first order arrives after all.
import { Agent, request } from 'node:http';
import { connect, createServer } from 'node:net';
import { Client } from '../lib-2/client.mjs';
import { createManifest, runCase, sleep } from '../lib-2/fleet.mjs';

const FREEZE_MS = 2500;
/** Time from the freeze to the operator's order. */
const ORDER_MS = 200;
const PATIENCE_MS = 1000;
/** TCP sends unacknowledged bytes again after 0.2 s and then after twice the time before, each time. */
const FIRST_RETRY_MS = 200;
/** The close follows when the bytes before it were acknowledged: a round trip, and the delay of the acknowledgement. */
const CLOSE_MS = 40;
const EVACUATE_MS = 5000;
const CONTACT_MS = 4000;
const OUTER_MS = 12_000;
const WATCH_MS = 3000;
const PAUSE_MS = 100;
const CLIENTS = 24;

const options = { service: { slots: 2, workMs: 40 } };
await runCase(import.meta.dirname, options, async (fleet, hasTrouble, recorder) => {
  await fleet.configure(createManifest(3));
  await fleet.waitUntilServing('booking', 'millkey1');
  // As the bench's variant `follower`: a control machine that doesn't seem to lead.
  const leader = fleet.findLeader();
  const [frozen, other] = fleet.controls.filter((control) => control !== leader);
  const { zone } = fleet.service.instances.find(({ role }) => role === 'replica');
  const network = await startNetwork(fleet, frozen.addresses.control, recorder);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const order = async (verb, address, name, options) => {
    const status = await call(address, `/filbertpoint/Drain.${verb}/${zone}`, options);
    recorder.say(
      `operator: Drain.${verb}/${zone} at ${name} -> ${status === 0 ? 'no answer within a second' : status}`,
    );
    return status;
  };
  const insist = async (verb) => {
    while ((await order(verb, other.addresses.control, other.node, {})) !== 200) {
      await sleep(200);
    }
  };
  if ((await order('Begin', network.address, frozen.node, { agent })) !== 200) {
    await insist('Begin');
  }
  await sleep(500);
  let thawedMs = Date.now();
  if (hasTrouble) {
    network.suspend(FREEZE_MS);
    frozen.child.kill('SIGSTOP');
    recorder.say(`${frozen.node} is suspended`);
    thawedMs += FREEZE_MS;
    setTimeout(() => {
      frozen.child?.kill('SIGCONT');
      recorder.say(`${frozen.node} wakes`);
    }, FREEZE_MS);
  }
  await sleep(ORDER_MS);
  if ((await order('Finish', network.address, frozen.node, { agent })) !== 200) {
    await insist('Finish');
  }
  await insist('Begin');
  const confirmedMs = Date.now();
  // An unstable core stretches the bound: nothing before this time is counted.
  const countedFromMs = Math.max(confirmedMs + EVACUATE_MS, thawedMs + CONTACT_MS) + OUTER_MS;
  const ask = async (index) => {
    const edge = fleet.edges[index % fleet.edges.length];
    while (Date.now() < countedFromMs + WATCH_MS) {
      const { client } = await Client.open(edge.addresses.frontend, 'lookup', 'millkey1');
      await Promise.race([client.query('FETCH warm'), sleep(PATIENCE_MS)]);
      client.close();
      await sleep(PAUSE_MS);
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, (_, index) => ask(index)));
  agent.destroy();
  network.close();
  const late = fleet.service.runs.filter((run) => run.zone === zone && run.atMs > countedFromMs);
  recorder.say(`requests at the instance in ${zone} since then: ${late.length}`);
  return late
    .slice(0, 5)
    .map(
      (run) =>
        `${run.instance} in ${zone} got ${run.id} "${run.text}" ${run.atMs - confirmedMs} ms after the confirmation of the last order, Drain.Begin`,
    );
});

/** Sends an order without a body; resolves with 0 when no answer came within a second, and closes then. */
function call(address, path, { agent = false }) {
  const [host, port] = address.split(':');
  return new Promise((done) => {
    const sent = request({ host, port, method: 'POST', path, agent }, (response) => {
      response.resume();
      response.on('end', () => done(response.statusCode));
    });
    const limit = setTimeout(() => sent.destroy(), PATIENCE_MS);
    sent.on('error', () => done(0));
    sent.on('close', () => {
      clearTimeout(limit);
      done(0);
    });
    sent.end();
  });
}

/** The operator's way to one machine. While that is suspended nothing arrives there, nor is it acknowledged. */
async function startNetwork(fleet, target, recorder) {
  const [host, port] = target.split(':');
  let suspendedUntilMs = 0;
  const getDelayMs = () => {
    const nowMs = Date.now();
    let delayMs = 0;
    for (let retryMs = FIRST_RETRY_MS; nowMs + delayMs < suspendedUntilMs; retryMs *= 2) {
      delayMs += retryMs;
    }
    return delayMs;
  };
  const server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    let lastArrivalMs = 0;
    let isClosing = false;
    near.on('data', (bytes) => {
      const delayMs = getDelayMs();
      lastArrivalMs = Date.now() + delayMs;
      setTimeout(() => {
        far.write(bytes);
        recorder.add(`network: an order arrives ${delayMs} ms after it was sent`);
      }, delayMs);
    });
    const close = () => {
      if (!isClosing) {
        isClosing = true;
        const delayMs = Math.max(0, lastArrivalMs - Date.now()) + CLOSE_MS;
        setTimeout(() => {
          far.end();
          recorder.add(`network: the close of its connection arrives`);
        }, delayMs);
      }
    };
    near.on('end', close);
    near.on('close', close);
    near.on('error', () => near.destroy());
    far.on('data', (bytes) => near.writable && near.write(bytes));
    far.on('end', () => near.end());
    far.on('error', () => far.destroy());
  });
  await new Promise((done) => server.listen(0, `127.${fleet.network}.${fleet.subnet}.240`, done));
  return {
    address: `127.${fleet.network}.${fleet.subnet}.240:${server.address().port}`,
    suspend: (durationMs) => {
      suspendedUntilMs = Date.now() + durationMs;
    },
    close: () => server.close(),
  };
}
