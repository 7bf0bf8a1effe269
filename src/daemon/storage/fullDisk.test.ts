import { mkdtemp, rm, symlink } from 'node:fs/promises';
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
import { passTime } from '../../../tests/support/storage/turns.js';
import { SeededRandom } from '../../../tests/support/seededRandom.js';
import { ManualTimerService } from '../../common/timer/index.js';
import { createEmptyState, StoredLog, type StoredState } from '../../decisions/consensus/index.js';
import { DiskFull, FolderDisk, FULL_DISK_RETRY_MS } from './index.js';
import { encodeRecord } from './recordCodec.js';

const SEED = 20261205;
const CHANGES = 40;
const STEP_MS = 10;
const LONGEST_WAIT_MS = 400;
const refuseAll = { keepsParts: true, refusesCuts: true, refusesNames: true };

/** Writes changes to a log whose disk is full at random times. */
class FullDiskScenario {
  readonly states: StoredState<string>[] = [];
  acknowledged = 0;
  failures = 0;
  private readonly timer = new ManualTimerService();
  private readonly storage;
  private readonly log = new StoredLog<string>(createEmptyState());
  private readonly maker;
  private readonly writes: Promise<void>[] = [];

  constructor(
    private readonly disk: FakeDisk,
    private readonly random: SeededRandom,
  ) {
    this.storage = createStorage(disk, this.timer);
    this.maker = new ChangeMaker(random);
    this.states.push(this.log.getState());
  }

  async run(): Promise<void> {
    const { random, disk } = this;
    const opening = this.storage.open(createFounding);
    await this.advanceTimer();
    disk.makeRoom();
    await passTime(this.timer, 2 * FULL_DISK_RETRY_MS, STEP_MS);
    (await opening)._unsafeUnwrap();
    for (let count = 0; count < CHANGES; count++) {
      this.write();
      if (random.chance(0.15)) {
        fill(disk, random);
      } else if (random.chance(0.3)) {
        disk.makeRoom();
      }
      if (random.chance(0.5)) {
        await this.advanceTimer();
      }
    }
  }

  /** Frees space on the disk and waits until all pending changes are written. */
  async drain(): Promise<void> {
    this.disk.makeRoom();
    await passTime(this.timer, 2 * FULL_DISK_RETRY_MS, STEP_MS);
    await Promise.all(this.writes);
  }

  private write(): void {
    const change = this.maker.next();
    this.log.apply(change);
    this.states.push(this.log.getState());
    const write = Promise.resolve(this.storage.persist(change)).then((result) => {
      this.failures += result.isErr() ? 1 : 0;
      this.acknowledged = result.isOk() ? result.value : this.acknowledged;
    });
    this.writes.push(write);
  }

  private advanceTimer(): Promise<void> {
    return passTime(this.timer, this.random.nextBelow(LONGEST_WAIT_MS), STEP_MS);
  }
}

function fill(disk: FakeDisk, random: SeededRandom): void {
  disk.fill(
    {
      keepsParts: random.chance(0.5),
      refusesCuts: random.chance(0.5),
      refusesNames: random.chance(0.5),
    },
    random,
  );
}

test('changes refused by a full disk are stored in order once space is free', async () => {
  const property = fc.asyncProperty(fc.integer(), async (seed) => {
    const random = new SeededRandom(seed);
    const disk = new FakeDisk();
    fill(disk, random);
    const series = new FullDiskScenario(disk, random);
    await series.run();
    await series.drain();
    expect([series.failures, series.acknowledged]).toEqual([0, CHANGES]);
    expect(JSON.stringify(await openState(disk))).toBe(JSON.stringify(series.states.at(-1)));
    expect(disk.getNames().length).toBeLessThanOrEqual(3);
  });
  await fc.assert(property, { seed: SEED, numRuns: 150 });
});

test('a power cut during or after a full disk loses no acknowledged change', async () => {
  const property = fc.asyncProperty(fc.integer(), async (seed) => {
    const random = new SeededRandom(seed);
    const disk = new FakeDisk();
    const series = new FullDiskScenario(disk, random);
    await series.run();
    disk.cutPowerAfter(random.nextBelow(12));
    await series.drain();
    disk.crash(random);
    if (random.chance(0.5)) {
      fill(disk, random);
    }
    const found = JSON.stringify(await openState(disk));
    const possible = series.states.slice(series.acknowledged).map((state) => JSON.stringify(state));
    expect(possible).toContain(found);
    disk.crash(random);
    expect(JSON.stringify(await openState(disk))).toBe(found);
  });
  await fc.assert(property, { seed: SEED, numRuns: 300 });
});

test('a torn last record is removed before the next append if the disk was full', async () => {
  const property = fc.asyncProperty(fc.integer(), async (seed) => {
    const random = new SeededRandom(seed);
    const disk = new FakeDisk();
    const series = new FullDiskScenario(disk, random);
    await series.run();
    await series.drain();
    const record = encodeRecord({ text: 'x'.repeat(100) });
    const torn = record.subarray(0, 80 + random.nextBelow(30));
    await disk.append(disk.getNames().find((name) => name.startsWith('segment')) ?? '', torn);
    disk.fill(refuseAll, random);
    const timer = new ManualTimerService();
    const storage = createStorage(disk, timer);
    const { state } = (await storage.open(createFounding))._unsafeUnwrap();
    const log = new StoredLog(state);
    disk.makeRoom();
    disk.cutPowerAfter(random.nextBelow(5));
    const vote = {
      ...new ChangeMaker(random).next(),
      snapshot: undefined,
      truncateFrom: undefined,
    };
    const change = { ...vote, entries: [], hardState: { term: 99, votedFor: undefined } };
    await storage.persist(change);
    log.apply(change);
    disk.crash(random);
    const possible = [state, log.getState()].map(({ hardState }) => hardState);
    expect(possible).toContainEqual((await openState(disk)).hardState);
  });
  await fc.assert(property, { seed: SEED, numRuns: 100 });
});

test('a new log on a full disk is created once, when space is free again', async () => {
  const random = new SeededRandom(SEED);
  const disk = new FakeDisk();
  disk.fill(refuseAll, random);
  const timer = new ManualTimerService();
  const storage = createStorage(disk, timer);
  let foundings = 0;
  const opening = storage.open(() => {
    foundings++;
    return createFounding();
  });
  await passTime(timer, 1000, STEP_MS);
  expect(storage.refusedMs).toBeGreaterThan(0);
  disk.makeRoom();
  await passTime(timer, FULL_DISK_RETRY_MS, STEP_MS);
  expect((await opening)._unsafeUnwrap().isNew).toBe(true);
  expect([foundings, storage.refusedMs]).toEqual([1, undefined]);
});

test('the start and the end of a period with a full disk are logged once each', async () => {
  const disk = new FakeDisk();
  const timer = new ManualTimerService();
  const lines: string[] = [];
  const storage = createStorage(disk, timer, lines);
  (await storage.open(createFounding))._unsafeUnwrap();
  const random = new SeededRandom(SEED);
  const maker = new ChangeMaker(random);
  disk.fill(refuseAll, random);
  const writes = [storage.persist(maker.next()), storage.persist(maker.next())];
  await passTime(timer, 1000, STEP_MS);
  disk.makeRoom();
  await passTime(timer, 1000, STEP_MS);
  expect((await Promise.all(writes)).every((written) => written.isOk())).toBe(true);
  expect(lines.map((line) => line.replace(/time=\S+ /, ''))).toMatchInlineSnapshot(`
    [
      "level=warn code=FP5103 message="The disk refuses writes; they wait for room: no room." step=storage.write",
      "level=info code=FP5104 message="The disk takes writes again after 1000 ms." step=storage.write",
    ]
  `);
});

test('closing a storage on a full disk fails its waiting changes at once', async () => {
  const disk = new FakeDisk();
  const storage = createStorage(disk);
  (await storage.open(createFounding))._unsafeUnwrap();
  const random = new SeededRandom(SEED);
  const maker = new ChangeMaker(random);
  disk.fill(refuseAll, random);
  const writes = [storage.persist(maker.next()), storage.persist(maker.next())];
  expect((await storage.close()).isOk()).toBe(true);
  expect((await Promise.all(writes)).every((written) => written.isErr())).toBe(true);
  expect(await openState(disk)).toEqual(createEmptyState());
});

test('only a system call that fails on a full disk rejects with DiskFull', async () => {
  const folder = await mkdtemp(join(tmpdir(), 'filbertpoint-full-'));
  try {
    await symlink('/dev/full', join(folder, 'full'));
    const disk = new FolderDisk(folder);
    await expect(disk.append('full', Uint8Array.of(1))).rejects.toBeInstanceOf(DiskFull);
    await expect(disk.append('none/file', Uint8Array.of(1))).rejects.not.toBeInstanceOf(DiskFull);
    await disk.close();
  } finally {
    await rm(folder, { recursive: true });
  }
});
