import fc from 'fast-check';
import { expect, test } from 'vitest';
import { MessageBoundaryTracker } from './messageBoundaryTracker.js';

const SEED = 20_261_204;

function createMessage(body: Uint8Array): Buffer {
  const header = Buffer.from([0x44, 0, 0, 0, 0]);
  header.writeUInt32BE(body.length + 4, 1);
  return Buffer.concat([header, body]);
}

test('message boundaries are found however the bytes are split into chunks', () => {
  const bodies = fc.array(fc.uint8Array({ maxLength: 12 }), { minLength: 1, maxLength: 6 });
  const sizes = fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 });
  fc.assert(
    fc.property(bodies, sizes, (contents, chunkSizes) => {
      const messages = contents.map(createMessage);
      const boundaries = new Set<number>([0]);
      messages.reduce((sum, { length }) => {
        boundaries.add(sum + length);
        return sum + length;
      }, 0);
      const bytes = Buffer.concat(messages);
      const frames = new MessageBoundaryTracker();
      for (let offset = 0, chunkIndex = 0; offset < bytes.length; chunkIndex += 1) {
        const end = Math.min(
          bytes.length,
          offset + (chunkSizes[chunkIndex % chunkSizes.length] ?? 1),
        );
        frames.push(bytes.subarray(offset, end));
        offset = end;
        expect(frames.isAtBoundary).toBe(boundaries.has(offset));
      }
    }),
    { seed: SEED },
  );
});
