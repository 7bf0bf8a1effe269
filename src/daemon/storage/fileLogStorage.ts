import { err, ok, ResultAsync, type Result } from 'neverthrow';
import {
  assertInvariant,
  createFault,
  Diagnostics,
  Fault,
} from '../../common/diagnostics/index.js';
import type { Logger } from '../../common/logging/index.js';
import type { Outcome } from '../../common/result.js';
import type { TimerService } from '../../common/timer/index.js';
import {
  StoredLog,
  type PersistOutput,
  type Snapshot,
  type StoredChange,
} from '../../decisions/consensus/index.js';
import type { Disk } from './disk.js';
import { openLogFolder, tryRemoveUnused, type LogFolder } from './logFolder.js';
import { LogStorage, type LogFounding, type OpenedLog } from './logStorage.js';
import { encodeRecord } from './recordCodec.js';
import { replaceFile } from './replaceFile.js';
import { DiskFullRetrier } from './diskFullRetrier.js';
import { getSegmentName, getSnapshotName, type SegmentHeader } from './segmentFile.js';
import { SegmentTail } from './segmentTail.js';

interface QueuedChange<Command> {
  readonly change: PersistOutput<Command>;
  readonly resolve: (result: Result<number, Fault>) => void;
}

/**
 * Stores the log in files: one segment, which begins with the state at its creation and grows by
 * one record per group of changes, and the snapshot that it refers to. A new snapshot starts a new
 * segment, and the previous files are removed. A write that fails because the disk is full is
 * retried until there is free space; all later writes wait for it.
 */
export class FileLogStorage<Command> extends LogStorage<Command> {
  private folder: LogFolder<Command> | undefined;
  private log: StoredLog<Command> | undefined;
  private queue: QueuedChange<Command>[] = [];
  private writing: Promise<void> | undefined;
  private failure: Fault | undefined;
  private lastSequence = 0;
  private readonly retrier: DiskFullRetrier;

  constructor(
    private readonly disk: Disk,
    timer: TimerService,
    logger: Logger,
  ) {
    super();
    this.retrier = new DiskFullRetrier(timer, logger);
  }

  override get refusedMs(): number | undefined {
    return this.retrier.refusedMs;
  }

  override open(createFounding: () => LogFounding<Command>): Outcome<OpenedLog<Command>> {
    let founding: LogFounding<Command> | undefined;
    const read = (): Promise<OpenedLog<Command>> =>
      this.read(() => (founding ??= createFounding()));
    return ResultAsync.fromPromise(this.retrier.run(read), toStorageFault);
  }

  override persist(change: PersistOutput<Command>): Outcome<number> {
    assertInvariant(
      change.sequence > this.lastSequence,
      'changes must be persisted in sequence order',
    );
    this.lastSequence = change.sequence;
    const done = new Promise<Result<number, Fault>>((resolve) => {
      this.queue.push({ change, resolve });
    });
    this.writing ??= this.writeQueue();
    return new ResultAsync(done);
  }

  override close(): Outcome<void> {
    this.retrier.stopRetrying();
    const closed = Promise.resolve(this.writing).then(() => this.disk.close());
    return ResultAsync.fromPromise(closed, toStorageFault);
  }

  private async read(createFounding: () => LogFounding<Command>): Promise<OpenedLog<Command>> {
    this.folder = await openLogFolder(this.disk, createFounding);
    const { identity, isNew, state, repair } = this.folder;
    this.log = new StoredLog(state);
    return { identity, isNew, state, repair };
  }

  private async writeQueue(): Promise<void> {
    // Waits so that the changes of one turn of the event loop are written as one group.
    await Promise.resolve();
    while (this.queue.length > 0) {
      const group = this.takeGroup();
      const failure = await this.tryWrite(group.map((queued) => queued.change));
      for (const { change, resolve } of group) {
        resolve(failure === undefined ? ok(change.sequence) : err(failure));
      }
    }
    this.writing = undefined;
  }

  /** Removes the next changes for one record from the queue; a snapshot is written alone. */
  private takeGroup(): readonly QueuedChange<Command>[] {
    const next = this.queue.findIndex(({ change }) => change.snapshot !== undefined);
    const count = next === -1 ? this.queue.length : Math.max(1, next);
    return this.queue.splice(0, count);
  }

  private async tryWrite(changes: readonly PersistOutput<Command>[]): Promise<Fault | undefined> {
    try {
      if (this.failure === undefined) {
        const { folder, log } = this.getOpened();
        changes.forEach((change) => log.apply(change));
        await this.retrier.run(() => this.write(folder, log, changes));
      }
    } catch (cause) {
      this.failure = toStorageFault(cause);
    }
    return this.failure;
  }

  private getOpened() {
    const { folder, log } = this;
    if (folder === undefined || log === undefined) {
      throw new Error('the log is not open');
    }
    return { folder, log };
  }

  /** Writes changes that the log has already applied; may be repeated after DiskFull. */
  private async write(
    folder: LogFolder<Command>,
    log: StoredLog<Command>,
    changes: readonly PersistOutput<Command>[],
  ): Promise<void> {
    const snapshot = changes[0]?.snapshot;
    if (snapshot !== undefined) {
      this.folder = await this.startSegment(folder, log, snapshot);
      return;
    }
    await folder.tail.append(encodeRecord(changes.map(toStoredChange)));
    if (!folder.isClean) {
      this.folder = { ...folder, isClean: await tryRemoveUnused(this.disk, folder) };
    }
  }

  private async startSegment(
    folder: LogFolder<Command>,
    log: StoredLog<Command>,
    snapshot: Snapshot,
  ): Promise<LogFolder<Command>> {
    const { disk } = this;
    const snapshotFile = getSnapshotName(snapshot.index);
    await replaceFile(disk, snapshotFile, encodeRecord(snapshot));
    const { hardState, entries } = log.getState();
    const { identity } = folder;
    const header: SegmentHeader<Command> = { identity, snapshotFile, hardState, entries };
    const record = encodeRecord(header);
    const segment = folder.segment + 1;
    const file = getSegmentName(segment);
    await replaceFile(disk, file, record);
    const tail = new SegmentTail(disk, file, record.byteLength, true);
    const started = { ...folder, segment, tail, snapshotFile };
    return { ...started, isClean: await tryRemoveUnused(disk, started) };
  }
}

function toStoredChange<Command>(change: PersistOutput<Command>): StoredChange<Command> {
  const { hardState, snapshot, truncateFrom, entries } = change;
  return { hardState, snapshot, truncateFrom, entries };
}

function toStorageFault(cause: unknown): Fault {
  return cause instanceof Fault
    ? cause
    : createFault(
        Diagnostics.StorageFailed,
        { file: 'the data folder', reason: cause instanceof Error ? cause.message : String(cause) },
        { step: 'storage.write' },
      );
}
