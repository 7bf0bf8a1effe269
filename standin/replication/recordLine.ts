import { toLogPosition, toTerm } from '../../src/common/ids/index.js';
import type { Change, LogRecord } from '../log/index.js';

interface RawRecord {
  readonly term: number;
  readonly position: number;
  readonly committedAtMs: number;
  readonly changes: readonly Change[];
}

/** A line that only shows that the stream lives. */
export const HEARTBEAT_LINE = '\n';

/** Encodes a record as one line of JSON. */
export function encodeRecordLine(record: LogRecord): string {
  return `${JSON.stringify(record)}\n`;
}

/** Reads a record's line; absent for a heartbeat. */
export function readRecordLine(line: string): LogRecord | undefined {
  if (line === '') {
    return undefined;
  }
  const { term, position, committedAtMs, changes } = JSON.parse(line) as RawRecord;
  return {
    term: toTerm(term),
    position: toLogPosition(position),
    committedAtMs,
    changes: changes.map(restoreNulls),
  };
}

function restoreNulls(change: Change): Change {
  if (change.kind !== 'put') {
    return change;
  }
  return { ...change, row: change.row.map((value) => value ?? undefined) };
}
