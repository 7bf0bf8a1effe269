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

/** The files of an opened log and what they hold. */
export interface LogFolder<Command> {
  readonly identity: MemberId;
  readonly isNew: boolean;
  readonly state: StoredState<Command>;
  readonly repair: TailRepair | undefined;
  /** Number of the segment that grows. */
  readonly segment: number;
  readonly tail: SegmentTail;
  readonly snapshotFile: string | undefined;
  /** No file is left that belongs to no state. */
  readonly isClean: boolean;
}

/**
 * Opens the log of a folder, or founds one when the folder holds no identity. Rejects with DiskFull
 * when there is no room to found one, and may then be called again; an existing log needs no room.
 */
export async function openLogFolder<Command>(
  disk: Disk,
  createFounding: () => LogFounding<Command>,
): Promise<LogFolder<Command>> {
  const files = await disk.list();
  const folder = files.includes(IDENTITY_FILE)
    ? await readLogFolder<Command>(disk, files)
    : await foundLogFolder(disk, files, createFounding());
  return { ...folder, isClean: await tryRemoveUnused(disk, folder) };
}

/** Removes the files that belong to no state; false when a full disk refuses that. */
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

async function foundLogFolder<Command>(
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

/** An identity is written last, so that a segment with changes can't be without one. */
async function rejectOrphanedSegments(disk: Disk, files: readonly string[]): Promise<void> {
  for (const file of files) {
    const number = getSegmentNumber(file);
    if (number === undefined) {
      continue;
    }
    const { records } = decodeRecords(file, await disk.read(file));
    if (number > 1 || records.length > 1) {
      throw createCorruptFault(IDENTITY_FILE, 0, `missing although ${file} is there`);
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
    throw createCorruptFault(IDENTITY_FILE, 0, 'there is an identity but no segment');
  }
  const file = getSegmentName(segment);
  const bytes = await disk.read(file);
  const { records, end } = decodeRecords(file, bytes);
  const header = records[0] as SegmentHeader<Command> | undefined;
  if (header?.identity !== identity) {
    throw createCorruptFault(file, 0, 'the segment does not begin with this identity');
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
  // A process that was killed may have left content and names that are not durable yet.
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

/** Cuts a file; false when a full disk refuses that. */
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
