import { connect } from 'node:net';
import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { RawClient } from '../testing/rawClient.js';
import { TestGroup } from '../testing/testGroup.js';

const SSL_REQUEST = Buffer.from([0, 0, 0, 8, 4, 210, 22, 47]);
const START_UP = Buffer.from('\0\0\0\x10\0\x03\0\0user\0u\0\0');
const MESSAGE_TYPES = [...Buffer.from('QPBDECHSFdcfX?')];

let group: TestGroup;

beforeAll(async () => {
  group = await new TestGroup().start(1);
});

afterAll(async () => group.stop());

function send(pieces: readonly Uint8Array[]): Promise<Buffer> {
  const [host = '', port = ''] = group.get(0).address.split(':');
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const socket = connect({ host, port: Number(port) }, () => {
      pieces.forEach((piece) => socket.write(piece));
      socket.end();
    });
    socket.on('data', (chunk) => chunks.push(chunk));
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(Buffer.concat(chunks)));
  });
}

async function expectService(): Promise<void> {
  const client = await group.connect();
  expect((await client.query('SELECT 1 AS a')).rows).toEqual([{ a: 1 }]);
  await client.end();
  await group.until(() => group.get(0).getStatus().connections.now === 0);
}

describe('start-up', () => {
  it('refuses encryption and goes on in the clear', async () => {
    const answer = await send([SSL_REQUEST, START_UP]);
    expect(answer.subarray(0, 2).toString()).toBe('NR');
  });

  it('takes a start-up in pieces', async () => {
    const bytes = [...START_UP].map((byte) => Uint8Array.of(byte));
    expect((await send(bytes)).subarray(0, 1).toString()).toBe('R');
  });

  it.each([
    ['a length of nothing', Buffer.alloc(8)],
    ['a negative length', Buffer.from([255, 255, 255, 255, 0, 3, 0, 0])],
    ['a huge length', Buffer.from([127, 255, 255, 255, 0, 3, 0, 0])],
    ['another protocol', Buffer.from('GET / HTTP/1.1\r\n\r\n')],
  ])('ends a connection with %s', async (_what, bytes) => {
    await send([bytes]);
    await expectService();
  });

  it('survives any bytes, before and after the start-up', async () => {
    const message = fc
      .tuple(fc.constantFrom(...MESSAGE_TYPES), fc.uint8Array({ maxLength: 40 }), fc.nat(60))
      .map(([type, body, length]) => Buffer.from([type, 0, 0, 0, length, ...body]));
    await fc.assert(
      fc.asyncProperty(
        fc.boolean(),
        fc.array(fc.oneof(message, fc.uint8Array({ maxLength: 30 })), { maxLength: 6 }),
        async (isStarted, pieces) => {
          await send(isStarted ? [START_UP, ...pieces] : pieces);
        },
      ),
      { seed: 9, numRuns: 200 },
    );
    await expectService();
  });

  it('ends a session whose message is cut short by its end', async () => {
    const client = await RawClient.open(group.get(0).address);
    client.send(Buffer.from('Q\0\0\0\x20SELE'));
    client.socket.end();
    await expectService();
  });
});
