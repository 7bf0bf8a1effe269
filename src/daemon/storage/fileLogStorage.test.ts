import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { FakeDisk } from '../../../tests/support/storage/fakeDisk.js';
import { SeededRandom } from '../../../tests/support/seededRandom.js';
import {
  createEmptyState,
  EntryKind,
  OutputKind,
  StoredLog,
  toMemberId,
  type LogEntry,
  type PersistOutput,
  type StoredState,
} from '../../decisions/consensus/index.js';
import { FileLogStorage, FolderDisk, type Disk, type LogFounding } from './index.js';

const SEED = 20261204;
const identity = toMemberId('member-1');

function createFounding(): LogFounding<string> {
  return { identity, state: createEmptyState() };
}

/** Makes valid changes: votes, appended entries, truncations and snapshots. */
class ChangeMaker {
  private sequence = 0;
  private term = 0;
  private lastIndex = 0;
  private snapshotIndex = 0;

  constructor(private readonly random: SeededRandom) {}

  next(): PersistOutput<string> {
    this.sequence++;
    const base = {
      kind: OutputKind.Persist as const,
      sequence: this.sequence,
      hardState: undefined,
      snapshot: undefined,
      truncateFrom: undefined,
      entries: [],
    };
    const choice = this.random.next();
    if (choice < 0.2) {
      this.term++;
      return { ...base, hardState: { term: this.term, votedFor: identity } };
    }
    if (choice < 0.35 && this.lastIndex > this.snapshotIndex) {
      this.snapshotIndex += 1 + this.random.nextBelow(this.lastIndex - this.snapshotIndex);
      const state = new TextEncoder().encode(`state ${this.snapshotIndex}`);
      const membership = { voters: [identity], learners: [] };
      const snapshot = { index: this.snapshotIndex, term: this.term, membership, state };
      return { ...base, snapshot };
    }
    return { ...base, ...this.append() };
  }

  private append(): Pick<PersistOutput<string>, 'truncateFrom' | 'entries'> {
    const kept =
      this.snapshotIndex + this.random.nextBelow(this.lastIndex - this.snapshotIndex + 1);
    const truncates = this.random.chance(0.3) && kept < this.lastIndex;
    this.lastIndex = truncates ? kept : this.lastIndex;
    const truncateFrom = truncates ? this.lastIndex + 1 : undefined;
    const entries: LogEntry<string>[] = [];
    const count = this.random.nextBelow(4);
    for (let added = 0; added < count; added++) {
      this.lastIndex++;
      const command = `command ${this.lastIndex} ${'x'.repeat(this.random.nextBelow(40))}`;
      entries.push({
        kind: EntryKind.Command,
        index: this.lastIndex,
        term: this.term,
        command,
        sizeBytes: command.length,
      });
    }
    return { truncateFrom, entries };
  }
}

async function openState(disk: Disk): Promise<StoredState<string>> {
  const opened = await new FileLogStorage<string>(disk).open(createFounding);
  return toComparable(opened._unsafeUnwrap().state);
}

function toComparable(state: StoredState<string>): StoredState<string> {
  const { snapshot } = state;
  return snapshot === undefined
    ? state
    : { ...state, snapshot: { ...snapshot, state: Uint8Array.from(snapshot.state) } };
}

/** Writes changes until the power is cut; returns the state after each prefix of the changes. */
async function writeUntilCut(disk: FakeDisk, random: SeededRandom) {
  const storage = new FileLogStorage<string>(disk);
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

test('after a power cut the log holds all acknowledged changes and is a prefix', async () => {
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

test('a flipped bit is refused with file and offset, never read as another state', async () => {
  const property = fc.asyncProperty(fc.integer(), async (seed) => {
    const random = new SeededRandom(seed);
    const disk = new FakeDisk();
    const storage = new FileLogStorage<string>(disk);
    (await storage.open(createFounding))._unsafeUnwrap();
    const maker = new ChangeMaker(random);
    for (let count = 0; count < 10; count++) {
      (await storage.persist(maker.next()))._unsafeUnwrap();
    }
    const file = random.pick(disk.getNames()) ?? '';
    disk.flipBit(file, random.nextBelow(disk.getSize(file) * 8));
    const opened = await new FileLogStorage<string>(disk).open(createFounding);
    const fault = opened._unsafeUnwrapErr();
    expect(fault.message).toContain(`Stored file ${file} is corrupt at offset`);
    expect(fault.peer).toBe(file);
  });
  await fc.assert(property, { seed: SEED, numRuns: 300 });
});

test('changes of one turn share one sync, and a failed disk fails every later change', async () => {
  const disk = new FakeDisk();
  const storage = new FileLogStorage<string>(disk);
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

test('a folder without its identity but with changes is refused', async () => {
  const disk = new FakeDisk();
  const storage = new FileLogStorage<string>(disk);
  (await storage.open(createFounding))._unsafeUnwrap();
  (await storage.persist(new ChangeMaker(new SeededRandom(3)).next()))._unsafeUnwrap();
  await disk.remove('identity');
  const fault = (await new FileLogStorage<string>(disk).open(createFounding))._unsafeUnwrapErr();
  expect(fault.message).toMatchInlineSnapshot(
    `"Stored file identity is corrupt at offset 0: missing although segment-000000000001 is there."`,
  );
});

test('files on a real folder are reopened, and a snapshot replaces the old segment', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'filbertpoint-log-'));
  try {
    const disk = new FolderDisk(folder);
    const storage = new FileLogStorage<string>(disk);
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
