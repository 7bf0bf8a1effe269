import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { ChangeMaker } from '../../../tests/support/storage/changeMaker.js';
import { FakeDisk } from '../../../tests/support/storage/fakeDisk.js';
import {
  createFounding,
  createStorage,
  openState,
} from '../../../tests/support/storage/openState.js';
import { SeededRandom } from '../../../tests/support/seededRandom.js';
import { createEmptyState, OutputKind, StoredLog } from '../../decisions/consensus/index.js';
import { FolderDisk } from './index.js';

const SEED = 20261204;

/**
 * Writes changes until the simulated power cut; returns the state after each prefix of the changes.
 */
async function writeUntilCut(disk: FakeDisk, random: SeededRandom) {
  const storage = createStorage(disk);
  (await storage.open(createFounding))._unsafeUnwrap();
  const maker = new ChangeMaker(random);
  const log = new StoredLog<string>(createEmptyState());
  const states = [log.getState()];
  let acknowledged = 0;
  disk.cutPowerAfter(random.nextBelow(120));
  const writes: Promise<void>[] = [];
  for (let count = 0; count < 40; count++) {
    const change = maker.next();
    log.apply(change);
    states.push(log.getState());
    const write = Promise.resolve(storage.persist(change)).then((result) => {
      acknowledged = result.isOk() ? Math.max(acknowledged, result.value) : acknowledged;
    });
    writes.push(write);
    if (random.chance(0.6)) {
      await write;
    }
  }
  await Promise.all(writes);
  return { states, acknowledged };
}

test('a power cut leaves a prefix of the changes that holds all acknowledged ones', async () => {
  const property = fc.asyncProperty(fc.integer(), async (seed) => {
    const random = new SeededRandom(seed);
    const disk = new FakeDisk();
    const { states, acknowledged } = await writeUntilCut(disk, random);
    disk.crash(random);
    const found = JSON.stringify(await openState(disk));
    const possible = states.slice(acknowledged).map((state) => JSON.stringify(state));
    expect(possible).toContain(found);
    disk.crash(random);
    expect(JSON.stringify(await openState(disk))).toBe(found);
  });
  await fc.assert(property, { seed: SEED, numRuns: 300 });
});

test('a flipped bit is reported with file and offset, never read as another state', async () => {
  const property = fc.asyncProperty(fc.integer(), async (seed) => {
    const random = new SeededRandom(seed);
    const disk = new FakeDisk();
    const storage = createStorage(disk);
    (await storage.open(createFounding))._unsafeUnwrap();
    const maker = new ChangeMaker(random);
    for (let count = 0; count < 10; count++) {
      (await storage.persist(maker.next()))._unsafeUnwrap();
    }
    const file = random.pick(disk.getNames()) ?? '';
    disk.flipBit(file, random.nextBelow(disk.getSize(file) * 8));
    const opened = await createStorage(disk).open(createFounding);
    const fault = opened._unsafeUnwrapErr();
    expect(fault.message).toContain(`Stored file ${file} is corrupt at offset`);
    expect(fault.peer).toBe(file);
  });
  await fc.assert(property, { seed: SEED, numRuns: 300 });
});

test('changes of one event loop turn share one sync; after a disk failure, all changes fail', async () => {
  const disk = new FakeDisk();
  const storage = createStorage(disk);
  (await storage.open(createFounding))._unsafeUnwrap();
  const before = disk.syncCount;
  const votes = [1, 2, 3].map((sequence) =>
    storage.persist({
      kind: OutputKind.Persist,
      sequence,
      hardState: { term: sequence, votedFor: undefined },
      snapshot: undefined,
      truncateFrom: undefined,
      entries: [],
    }),
  );
  const results = await Promise.all(votes);
  expect(results.map((result) => result._unsafeUnwrap())).toEqual([1, 2, 3]);
  expect(disk.syncCount - before).toBe(1);
  disk.cutPowerAfter(0);
  const change = new ChangeMaker(new SeededRandom(1)).next();
  expect((await storage.persist({ ...change, sequence: 4 })).isErr()).toBe(true);
  disk.cutPowerAfter(100);
  expect((await storage.persist({ ...change, sequence: 5 })).isErr()).toBe(true);
});

test('a folder with changes but without its identity file is rejected', async () => {
  const disk = new FakeDisk();
  const storage = createStorage(disk);
  (await storage.open(createFounding))._unsafeUnwrap();
  (await storage.persist(new ChangeMaker(new SeededRandom(3)).next()))._unsafeUnwrap();
  await disk.remove('identity');
  const fault = (await createStorage(disk).open(createFounding))._unsafeUnwrapErr();
  expect(fault.message).toMatchInlineSnapshot(
    `"Stored file identity is corrupt at offset 0: missing although segment-000000000001 exists."`,
  );
});

test('a log is reopened from a real folder after a snapshot replaced its segment', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'filbertpoint-log-'));
  try {
    const disk = new FolderDisk(folder);
    const storage = createStorage(disk);
    (await storage.open(createFounding))._unsafeUnwrap();
    const maker = new ChangeMaker(new SeededRandom(7));
    const log = new StoredLog<string>(createEmptyState());
    for (let count = 0; count < 30; count++) {
      const change = maker.next();
      log.apply(change);
      (await storage.persist(change))._unsafeUnwrap();
    }
    (await storage.close())._unsafeUnwrap();
    const reopened = new FolderDisk(folder);
    expect(await openState(reopened)).toEqual(log.getState());
    expect((await reopened.list()).toSorted()).toMatchInlineSnapshot(`
      [
        "identity",
        "segment-000000000004",
        "snapshot-0000000000000014",
      ]
    `);
    await reopened.close();
  } finally {
    await rm(folder, { recursive: true });
  }
});
