import type { HardState, LogEntry, MemberId } from '../../decisions/consensus/index.js';

/** First record of a segment: the state at its creation. */
export interface SegmentHeader<Command> {
  readonly identity: MemberId;
  /** File with the snapshot that precedes the entries, if there is one. */
  readonly snapshotFile: string | undefined;
  readonly hardState: HardState;
  readonly entries: readonly LogEntry<Command>[];
}

const SEGMENT_PATTERN = /^segment-(\d{12})$/;
const SNAPSHOT_PATTERN = /^snapshot-\d{16}$/;
const NUMBER_DIGITS = 12;
const INDEX_DIGITS = 16;

/** Suffix of files that are being written; files with it are removed when the log is opened. */
export const TEMPORARY_SUFFIX = '.new';

/** Returns the file name of a segment. */
export function getSegmentName(number: number): string {
  return `segment-${String(number).padStart(NUMBER_DIGITS, '0')}`;
}

/** Returns the number of a segment from its file name; undefined for other files. */
export function getSegmentNumber(file: string): number | undefined {
  const digits = SEGMENT_PATTERN.exec(file)?.[1];
  return digits === undefined ? undefined : Number(digits);
}

/** Returns the name of the file that holds the snapshot at a log index. */
export function getSnapshotName(index: number): string {
  return `snapshot-${String(index).padStart(INDEX_DIGITS, '0')}`;
}

/** Whether a file name is that of a snapshot. */
export function isSnapshotName(file: string): boolean {
  return SNAPSHOT_PATTERN.test(file);
}
