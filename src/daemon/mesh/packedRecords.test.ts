import { expect, test } from 'vitest';
import { toRevision } from '../../common/ids/index.js';
import type { ControlRecord } from '../../decisions/control/index.js';
import { RecordPacker, tryUnpackRecords } from './packedRecords.js';

function createRecords(count: number, last: number): readonly ControlRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    ...{ name: `group/${index}`, revision: toRevision(last - count + index + 1) },
    value: { kind: 'test', text: `${last}-${index}` },
  })) as unknown as readonly ControlRecord[];
}

test('records are packed once a revision and come out as they went in', () => {
  const packer = new RecordPacker();
  const all = createRecords(40, 90);
  const bytes = packer.pack(all, toRevision(90));
  expect(packer.pack(createRecords(40, 90), toRevision(90))).toBe(bytes);
  expect(tryUnpackRecords(packer.pack(all.slice(37), toRevision(90)), 'a')._unsafeUnwrap()).toEqual(
    all.slice(37),
  );
  expect(tryUnpackRecords(bytes, 'a')._unsafeUnwrap()).toEqual(all);
  const next = createRecords(40, 91);
  expect(tryUnpackRecords(packer.pack(next, toRevision(91)), 'a')._unsafeUnwrap()).toEqual(next);
  expect(tryUnpackRecords(packer.pack([], toRevision(91)), 'a')._unsafeUnwrap()).toEqual([]);
});

test.each([[[]], [[0xc1]], [[0x93, 1, 2]], [[0x91, 0x80]], [[0xa1, 0x61]]])(
  'bytes that are no records are refused: %j',
  (bytes) => {
    expect(tryUnpackRecords(Uint8Array.from(bytes), 'a').isErr()).toBe(true);
  },
);
