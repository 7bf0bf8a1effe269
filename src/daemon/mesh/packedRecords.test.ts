import { deflateRawSync } from 'node:zlib';
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

test('records are packed once for each revision and are the same after unpacking', () => {
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

/** Capacity of a link of 2 Mbit/s, which mainly serves requests of callers, in bytes a second. */
const NARROW_LINK_BYTES = 250_000;
/** Number of configuration changes a second. */
const CHANGES_PER_SECOND = 2;

test('two changes a second of 1100 routes use less than a fifth of a 2 Mbit/s link', () => {
  const routes = Array.from({ length: 1100 }, (_, index) => ({
    ...{ kind: 'route', route: `route-${(index * 7919).toString(36)}`, group: 'ledger-1' },
    ...{ consistency: 'bounded', statementTimeoutMs: 3000, targetLatencyMs: 800 },
    ...{ maximumStalenessMs: 1500, transactionIdleMs: 3000 },
  }));
  const record = {
    ...{ name: 'subject/configuration', revision: toRevision(4) },
    value: { kind: 'subject', state: { kind: 'configuration', routes } },
  } as unknown as ControlRecord;
  const bytes = new RecordPacker().pack([record], toRevision(4));
  expect(tryUnpackRecords(bytes, 'a')._unsafeUnwrap()).toEqual([record]);
  expect(bytes.length * CHANGES_PER_SECOND).toBeLessThan(NARROW_LINK_BYTES / 5);
});

test('a configuration is packed once while other records change', () => {
  let reads = 0;
  const configuration = {
    ...{ name: 'subject/configuration', revision: toRevision(4) },
    value: {
      kind: 'subject',
      state: {
        kind: 'configuration',
        get routes() {
          reads += 1;
          return [{ route: 'ledger' }];
        },
      },
    },
  } as unknown as ControlRecord;
  const packer = new RecordPacker();
  for (let revision = 100; revision < 110; revision += 1) {
    const others = createRecords(5, revision);
    const bytes = packer.pack([configuration, ...others], toRevision(revision));
    const unpacked = tryUnpackRecords(bytes, 'a')._unsafeUnwrap();
    expect(unpacked.slice(1)).toEqual(others);
    expect(unpacked[0]?.value).toMatchObject({ state: { routes: [{ route: 'ledger' }] } });
  }
  expect(reads).toBe(1);
});

test('parts that are incomplete or too many are refused', () => {
  const configuration = {
    ...{ name: 'subject/configuration', revision: toRevision(4) },
    value: { kind: 'subject', state: { kind: 'configuration', routes: [] } },
  } as unknown as ControlRecord;
  const all = [configuration, ...createRecords(3, 9)];
  const bytes = new RecordPacker().pack(all, toRevision(9));
  expect(tryUnpackRecords(bytes, 'a')._unsafeUnwrap()).toEqual(all);
  for (let length = 2; length < bytes.length; length += 1) {
    const unpacked = tryUnpackRecords(bytes.subarray(0, length), 'a');
    expect(unpacked.isErr() || unpacked.value.length < all.length).toBe(true);
  }
  const empty = Buffer.from([0, 0, 0, 2, 0, 0x90]);
  const many = Buffer.concat([Buffer.of(2), ...Array.from({ length: 100 }, () => empty)]);
  expect(tryUnpackRecords(many, 'a').isErr()).toBe(true);
});

test('compressed bytes that are truncated, of unknown packing or too large unpacked are refused', () => {
  const bytes = new RecordPacker().pack(createRecords(200, 300), toRevision(300));
  expect(tryUnpackRecords(bytes.subarray(0, bytes.length - 9), 'a').isErr()).toBe(true);
  expect(tryUnpackRecords(Uint8Array.of(2, ...bytes.subarray(1)), 'a').isErr()).toBe(true);
  const bomb = deflateRawSync(Buffer.alloc(80_000_000));
  expect(tryUnpackRecords(Buffer.concat([Buffer.of(1), bomb]), 'a').isErr()).toBe(true);
});

test.each([
  [[]],
  [[0xc1]],
  [[0x93, 1, 2]],
  [[0x91, 0x80]],
  [[0xa1, 0x61]],
  [[0, 0xc1]],
  [[0, 0x91, 0x80]],
])('bytes that do not contain records are refused: %j', (bytes) => {
  expect(tryUnpackRecords(Uint8Array.from(bytes), 'a').isErr()).toBe(true);
});
