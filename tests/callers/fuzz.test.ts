import fc from 'fast-check';
import { connect } from 'node:net';
import { serialize } from 'pg-protocol';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { CallerFleet } from './callerFleet.js';

const SEED = 20_261_204;
const RUNS = 150;
const callers = new CallerFleet(1);

beforeAll(() => callers.start());
afterAll(() => callers.stop());

/** Sends bytes, ends its own side, and waits until the daemon has closed the connection. */
function sendAndClose(pieces: readonly Uint8Array[]): Promise<Buffer> {
  const { plan, daemon } = callers.fleet.getDaemon('entry-1');
  return new Promise((resolve) => {
    const answer: Buffer[] = [];
    const socket = connect({ host: plan.ip, port: daemon.callerPort });
    socket.on('data', (bytes: Buffer) => answer.push(bytes));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(Buffer.concat(answer)));
    pieces.forEach((piece) => socket.write(piece));
    socket.end();
  });
}

async function expectServing(): Promise<void> {
  const client = await callers.connect();
  expect((await client.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
  await client.end();
}

function withLength(type: number | undefined, length: number, body: Uint8Array): Buffer {
  const header = Buffer.alloc(type === undefined ? 4 : 5);
  header.writeUInt32BE(length >>> 0, header.length - 4);
  if (type !== undefined) {
    header[0] = type;
  }
  return Buffer.concat([header, body]);
}

const START = Buffer.from(serialize.startup({ user: 'anyone', database: 'open-ledger' }));
const lengths = fc.oneof(
  fc.constantFrom(0, 1, 3, 4, 7, 8, 16, 2 ** 31 - 1, 2 ** 31, 2 ** 32 - 1),
  fc.nat(40),
);
const junk = fc.uint8Array({ maxLength: 60 });
const codes = fc.constantFrom(196608, 80877102, 80877103, 80877104, 131072, 0);

/** A first message with any length, one of the known codes or another, and any body. */
const firstMessage = fc
  .tuple(lengths, fc.boolean(), codes, junk)
  .map(([length, isTrue, code, body]) => {
    const content = Buffer.alloc(4 + body.length);
    content.writeUInt32BE(code);
    content.set(body, 4);
    return withLength(undefined, isTrue ? content.length + 4 : length, content);
  });

const TYPES = Array.from(Buffer.from('BCDEFHPQSXcdfp'));
const laterMessage = fc
  .tuple(fc.oneof(fc.constantFrom(...TYPES), fc.nat(255)), lengths, fc.boolean(), junk)
  .map(([type, length, isTrue, body]) => withLength(type, isTrue ? body.length + 4 : length, body));

test('random and wrong first messages end their connection alone', async () => {
  const pieces = fc.array(fc.oneof(firstMessage, laterMessage, junk), {
    minLength: 1,
    maxLength: 4,
  });
  await fc.assert(
    fc.asyncProperty(pieces, async (sent) => {
      await sendAndClose(sent);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  await expectServing();
});

test('random and wrong messages after the start end their connection alone', async () => {
  const pieces = fc.array(fc.oneof(laterMessage, junk), { minLength: 1, maxLength: 6 });
  await fc.assert(
    fc.asyncProperty(pieces, async (sent) => {
      const answer = await sendAndClose([START, ...sent]);
      expect(answer[0]).toBe('R'.charCodeAt(0));
    }),
    { seed: SEED, numRuns: RUNS },
  );
  await expectServing();
});

test('wrong messages in place of the proof of a key are clear errors', async () => {
  const start = Buffer.from(serialize.startup({ user: 'mill', database: 'ledger-1' }));
  const pieces = fc.array(fc.oneof(laterMessage, junk), { minLength: 1, maxLength: 3 });
  await fc.assert(
    fc.asyncProperty(pieces, async (sent) => {
      await sendAndClose([start, ...sent]);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  await expectServing();
});

test.each([
  ['a length of 0', withLength(undefined, 0, Buffer.alloc(0))],
  ['a length of 2 GiB', withLength(undefined, 2 ** 31 - 1, Buffer.from([0, 3, 0, 0]))],
  ['version 2', withLength(undefined, 8, Buffer.from([0, 2, 0, 0]))],
  [
    'parameters without an end',
    withLength(undefined, 12, Buffer.from([0, 3, 0, 0, 65, 65, 65, 65])),
  ],
])('%s is answered with an error of the protocol', async (_name, bytes) => {
  const answer = await sendAndClose([bytes]);
  expect(answer.toString('latin1')).toMatch(/^E.*SFATAL\0.*C(08P01|54000)\0/s);
  await expectServing();
});

test('messages without a Sync are bounded and refused as not run', async () => {
  const client = await callers.openRaw();
  const text = `SELECT '${'x'.repeat(4_000_000)}'`;
  for (let count = 0; count < 12; count += 1) {
    client.send(Buffer.from(serialize.parse({ text })));
  }
  client.send(Buffer.from(serialize.sync()));
  const [refused] = await client.take('readyForQuery');
  expect(refused?.code).toBe('54000');
  client.send(Buffer.from(serialize.query('SELECT 1')));
  expect((await client.take('readyForQuery')).length).toBe(4);
  client.close();
});

test('a message behind the start-up in one piece is not lost', async () => {
  const answer = await sendAndClose([
    Buffer.concat([START, Buffer.from(serialize.query('SHOW statement_timeout'))]),
  ]);
  expect(answer.toString('latin1')).toContain('30000ms');
});
