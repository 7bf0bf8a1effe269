import fc from 'fast-check';
import { Packr } from 'msgpackr';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { WebSocket } from 'ws';
import { FrameCodec } from '../../src/daemon/mesh/frameCodec.js';
import { MESH_VERSION } from '../../src/daemon/mesh/meshLink.js';
import { MeshKind, type MeshMessage } from '../../src/daemon/mesh/index.js';
import { CallerFleet } from './callerFleet.js';

const SEED = 20_261_204;
const RUNS = 200;
const codec = new Packr({ useRecords: false, int64AsType: 'number' });

/** Decodes a frame as the first one of a link. */
function tryDecodeFrame(frame: Uint8Array, peer: string) {
  return new FrameCodec().tryDecode(frame, peer);
}

/** Encodes a message as the first one of a link. */
function encodeFrame(message: MeshMessage): Uint8Array {
  return new FrameCodec().encode(message);
}
const callers = new CallerFleet(2);

beforeAll(() => callers.start());
afterAll(() => callers.stop());

const HELLO = {
  kind: MeshKind.Hello,
  version: MESH_VERSION,
  host: 'stranger',
  incarnation: 'stranger-1',
  address: '127.0.0.99:1',
};

/** Sends frames to the control host and gives what keeps the link open after them. */
async function send(frames: readonly Uint8Array[]): Promise<boolean> {
  const socket = new WebSocket(`ws://${callers.fleet.getDaemon('control-1').settings.mesh.listen}`);
  socket.on('error', () => undefined);
  const closed = new Promise<boolean>((resolve) => socket.on('close', () => resolve(false)));
  await new Promise((resolve) => socket.once('open', resolve));
  for (const frame of frames) {
    socket.send(frame);
  }
  const answered = new Promise<boolean>((resolve) => {
    socket.on('message', (data) => {
      const { kind, sequence } = codec.unpack(data as Buffer) as {
        kind: number;
        sequence?: number;
      };
      if (kind === (MeshKind.HeartbeatAnswer as number) && sequence === LAST_SEQUENCE) {
        resolve(true);
      }
    });
  });
  socket.send(codec.pack({ kind: MeshKind.Heartbeat, sequence: LAST_SEQUENCE }));
  const isOpen = await Promise.race([closed, answered]);
  socket.terminate();
  return isOpen;
}

const LAST_SEQUENCE = 987_654;

async function expectServing(): Promise<void> {
  const client = await callers.connect('entry-2');
  expect((await client.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
  await client.end();
}

const kinds = fc.integer({ min: 1, max: MeshKind.ControlAnswer });
const value = fc.oneof(
  fc.string(),
  fc.double(),
  fc.integer(),
  fc.boolean(),
  fc.constant(null),
  fc.uint8Array({ maxLength: 20 }),
  fc.array(fc.anything({ maxDepth: 1 }), { maxLength: 3 }),
  fc.dictionary(fc.constantFrom('kind', 'id', 'account', 'term', 'from', 'to'), fc.string()),
);
const NAMES = ['request', 'id', 'offset', 'bytes', 'outcome', 'consumed', 'abandoned', 'group'];
const MORE_NAMES = [
  'transaction',
  'content',
  'renewal',
  'grant',
  'update',
  'from',
  'to',
  'sequence',
];
const wrongMessage = fc
  .tuple(kinds, fc.dictionary(fc.constantFrom(...NAMES, ...MORE_NAMES), value))
  .map(([kind, fields]) => codec.pack({ ...fields, kind }) as Uint8Array);

test('a decoded frame is a message with its fields, or a fault', () => {
  const frame = fc.oneof(fc.uint8Array({ maxLength: 200 }), wrongMessage);
  fc.assert(
    fc.property(frame, (bytes) => {
      const decoded = tryDecodeFrame(bytes, 'peer');
      if (decoded.isErr()) {
        expect(decoded.error.diagnostic.code).toBe(8500);
      } else {
        expect(tryDecodeFrame(encodeFrame(decoded.value), 'peer').isOk()).toBe(true);
      }
    }),
    { seed: SEED, numRuns: 2000 },
  );
});

test('every kind is refused when a field is missing or of another type', () => {
  const execute = { kind: MeshKind.Execute, request: { id: 'a' }, received: 0 };
  const end = { kind: MeshKind.ResponseEnd, id: 'a', offset: 0, bytes: new Uint8Array(1) };
  const wrong = [execute, { ...end, outcome: 1 }, { ...end, outcome: {} }, { ...end, offset: NaN }];
  for (const message of wrong) {
    const decoded = tryDecodeFrame(codec.pack(message), 'peer');
    expect(decoded.isErr() && decoded.error.message).toMatch(/field \S+ is wrong/);
  }
  const right = { kind: MeshKind.Cancel, id: 'a', abandoned: true } as MeshMessage;
  expect(tryDecodeFrame(encodeFrame(right), 'peer').isOk()).toBe(true);
});

test('a lease renewal is refused when the rate of the link in it is no count', () => {
  const renewal = {
    ...{
      host: 'h',
      incarnation: 'h1',
      lease: 'l',
      domain: 'd',
      address: '10.0.0.1:7560',
      sequence: 1,
    },
    ...{ answered: 0, sinceAnsweredMs: 0, revision: 0, announcements: [], reports: [] },
    ...{ releasedGroups: [], releasedAccounts: [], stopping: false },
  };
  const tryDecode = (link: object) =>
    tryDecodeFrame(
      codec.pack({ kind: MeshKind.LeaseRenewal, renewal: { ...renewal, ...link } }),
      'peer',
    );
  for (const linkBytesPerSecond of ['250000', -1, NaN, true, null]) {
    const decoded = tryDecode({ linkBytesPerSecond });
    expect(decoded.isErr() && decoded.error.message).toMatch(/field renewal.linkBytes\S+ is wrong/);
  }
  expect(tryDecode({}).isOk()).toBe(true);
  expect(tryDecode({ linkBytesPerSecond: 250_000 }).isOk()).toBe(true);
});

test('a link decodes its messages in order, whatever their shapes, far smaller than one by one', () => {
  const sender = new FrameCodec();
  const receiver = new FrameCodec();
  let bytes = 0;
  let alone = 0;
  for (let count = 0; count < 200; count += 1) {
    const cancel = { kind: MeshKind.Cancel, id: `request-${count}`, abandoned: count % 2 === 0 };
    const beat = { kind: MeshKind.Heartbeat, sequence: count };
    const message = (count % 3 === 0 ? beat : cancel) as MeshMessage;
    const frame = sender.encode(message);
    bytes += frame.length;
    alone += encodeFrame(message).length;
    expect(receiver.tryDecode(frame, 'peer')._unsafeUnwrap()).toEqual(message);
  }
  expect(bytes).toBeLessThan(alone);
});

test('junk and wrong messages end their link alone', async () => {
  const frames = fc.array(fc.oneof(wrongMessage, fc.uint8Array({ maxLength: 60 })), {
    minLength: 1,
    maxLength: 4,
  });
  await fc.assert(
    fc.asyncProperty(fc.boolean(), frames, async (greets, sent) => {
      const isOpen = await send(greets ? [codec.pack(HELLO), ...sent] : sent);
      const link = new FrameCodec();
      const isAccepted = greets && sent.every((frame) => link.tryDecode(frame, 'peer').isOk());
      expect(isOpen && !isAccepted).toBe(false);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  await expectServing();
});

test('a frame above the limit ends its link alone', async () => {
  expect(await send([codec.pack(HELLO), Buffer.alloc(70_000_000)])).toBe(false);
  await expectServing();
});
