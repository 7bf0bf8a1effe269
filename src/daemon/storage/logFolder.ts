import {
  StoredLog,
  type MemberId,
  type Snapshot,
  type StoredChange,
  type StoredState,
} from '../../decisions/consensus/index.js';
import type { Disk } from './disk.js';
import { DiskFull } from './diskFull.js';
import { IDENTITY_FILE, readIdentity, writeIdentity } from './identityFile.js';
import type { LogFounding, TailRepair } from './logStorage.js';
import {
  createCorruptFault,
  decodeRecords,
  decodeSingleRecord,
  encodeRecord,
} from './recordCodec.js';
import { replaceFile } from './replaceFile.js';
import {
  getSegmentName,
  getSegmentNumber,
  getSnapshotName,
  isSnapshotName,
  TEMPORARY_SUFFIX,
  type SegmentHeader,
} from './segmentFile.js';
import { SegmentTail } from './segmentTail.js';

/** The files of an opened log and the state that was read from them. */
export interface LogFolder<Command> {
  readonly identity: MemberId;
  readonly isNew: boolean;
  readonly state: StoredState<Command>;
  readonly repair: TailRepair | undefined;
  /** Number of the segment that records are appended to. */
  readonly segment: number;
  readonly tail: SegmentTail;
  readonly snapshotFile: string | undefined;
  /** Whether all unused files were removed. */
  readonly isClean: boolean;
}

/**
 * Opens the log of a folder, or creates one if the folder holds no identity. Rejects with DiskFull
 * if free space to create one is lacking, and may then be called again; an existing log can be
 * opened without free space.
 */
export async function openLogFolder<Command>(
  disk: Disk,
  createFounding: () => LogFounding<Command>,
): Promise<LogFolder<Command>> {
  const files = await disk.list();
  const folder = files.includes(IDENTITY_FILE)
    ? await readLogFolder<Command>(disk, files)
    : await createLogFolder(disk, files, createFounding());
  return { ...folder, isClean: await tryRemoveUnused(disk, folder) };
}

/**
 * Removes the files that the current state does not use; false if that fails because the disk is
 * full.
 */
export async function tryRemoveUnused<Command>(
  disk: Disk,
  folder: LogFolder<Command>,
): Promise<boolean> {
  try {
    await removeUnused(disk, folder);
    return true;
  } catch (cause) {
    if (cause instanceof DiskFull) {
      return false;
    }
    throw cause;
  }
}

async function createLogFolder<Command>(
  disk: Disk,
  files: readonly string[],
  founding: LogFounding<Command>,
): Promise<LogFolder<Command>> {
  await rejectOrphanedSegments(disk, files);
  const { identity, state } = founding;
  const { hardState, snapshot, entries } = state;
  const snapshotFile = snapshot === undefined ? undefined : getSnapshotName(snapshot.index);
  if (snapshot !== undefined && snapshotFile !== undefined) {
    await replaceFile(disk, snapshotFile, encodeRecord(snapshot));
  }
  const header: SegmentHeader<Command> = { identity, snapshotFile, hardState, entries };
  const file = getSegmentName(1);
  const record = encodeRecord(header);
  await replaceFile(disk, file, record);
  await writeIdentity(disk, identity);
  const tail = new SegmentTail(disk, file, record.byteLength, true);
  const found = { identity, isNew: true, state, repair: undefined };
  return { ...found, segment: 1, tail, snapshotFile, isClean: false };
}

/**
 * Throws RecordCorrupt if segments with changes exist although the identity file is missing. The
 * identity is written last when a log is created, so that changes are only stored after it.
 */
async function rejectOrphanedSegments(disk: Disk, files: readonly string[]): Promise<void> {
  for (const file of files) {
    const number = getSegmentNumber(file);
    if (number === undefined) {
      continue;
    }
    const { records } = decodeRecords(file, await disk.read(file));
    if (number > 1 || records.length > 1) {
      throw createCorruptFault(IDENTITY_FILE, 0, `missing although ${file} exists`);
    }
  }
}

async function readLogFolder<Command>(
  disk: Disk,
  files: readonly string[],
): Promise<LogFolder<Command>> {
  const identity = await readIdentity(disk);
  const segment = Math.max(0, ...files.map((file) => getSegmentNumber(file) ?? 0));
  if (segment === 0) {
    throw createCorruptFault(IDENTITY_FILE, 0, 'identity file exists but no segment file');
  }
  const file = getSegmentName(segment);
  const bytes = await disk.read(file);
  const { records, end } = decodeRecords(file, bytes);
  const header = records[0] as SegmentHeader<Command> | undefined;
  if (header?.identity !== identity) {
    throw createCorruptFault(file, 0, 'the segment header is missing or holds another identity');
  }
  const { hardState, snapshotFile, entries } = header;
  const snapshot = await readSnapshot(disk, snapshotFile);
  const log = new StoredLog<Command>({ hardState, snapshot, entries });
  for (const group of records.slice(1) as StoredChange<Command>[][]) {
    group.forEach((change) => log.apply(change));
  }
  const droppedBytes = bytes.byteLength - end;
  const isIntact = droppedBytes === 0 || (await tryTruncate(disk, file, end));
  const repair = droppedBytes === 0 ? undefined : { file, droppedBytes };
  // A killed process may have left file contents and names that are not durable yet.
  await disk.sync(file);
  await disk.syncFolder();
  const tail = new SegmentTail(disk, file, end, isIntact);
  const found = { identity, isNew: false, state: log.getState(), repair };
  return { ...found, segment, tail, snapshotFile, isClean: false };
}

async function readSnapshot(disk: Disk, file: string | undefined): Promise<Snapshot | undefined> {
  return file === undefined
    ? undefined
    : (decodeSingleRecord(file, await disk.read(file)) as Snapshot);
}

/** Truncates a file; false if that fails because the disk is full. */
async function tryTruncate(disk: Disk, file: string, size: number): Promise<boolean> {
  try {
    await disk.truncate(file, size);
    return true;
  } catch (cause) {
    if (cause instanceof DiskFull) {
      return false;
    }
    throw cause;
  }
}

async function removeUnused<Command>(disk: Disk, folder: LogFolder<Command>): Promise<void> {
  const used = [getSegmentName(folder.segment), folder.snapshotFile];
  for (const file of await disk.list()) {
    const isTemporary = file.endsWith(TEMPORARY_SUFFIX);
    const isOwn = getSegmentNumber(file) !== undefined || isSnapshotName(file);
    if (isTemporary || (isOwn && !used.includes(file))) {
      await disk.remove(file);
    }
  }
}
