import type { HardState, LogEntry, MemberId } from '../../decisions/consensus/index.js';

/** First record of a segment: the state with which it begins. */
export interface SegmentHeader<Command> {
  readonly identity: MemberId;
  /** File with the snapshot before the entries, if there is one. */
  readonly snapshotFile: string | undefined;
  readonly hardState: HardState;
  readonly entries: readonly LogEntry<Command>[];
}

const SEGMENT_PATTERN = /^segment-(\d{12})$/;
const SNAPSHOT_PATTERN = /^snapshot-\d{16}$/;
const NUMBER_DIGITS = 12;
const INDEX_DIGITS = 16;

/** Ending of files that are being written; removed when found at opening. */
export const TEMPORARY_SUFFIX = '.new';

/** The name of a segment. */
export function getSegmentName(number: number): string {
  return `segment-${String(number).padStart(NUMBER_DIGITS, '0')}`;
}

/** The number of a segment; undefined for other files. */
export function getSegmentNumber(file: string): number | undefined {
  const digits = SEGMENT_PATTERN.exec(file)?.[1];
  return digits === undefined ? undefined : Number(digits);
}

/** The name of the file with the snapshot of an index. */
export function getSnapshotName(index: number): string {
  return `snapshot-${String(index).padStart(INDEX_DIGITS, '0')}`;
}

/** Whether a file is a snapshot. */
export function isSnapshotName(file: string): boolean {
  return SNAPSHOT_PATTERN.test(file);
}
