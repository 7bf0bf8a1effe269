import { assertInvariant } from '../../src/common/diagnostics/index.js';
import { toLogPosition, toTerm, type LogPosition, type Term } from '../../src/common/ids/index.js';
import type { Change } from './change.js';
import type { LogRecord } from './logRecord.js';
import type { TermStart } from './termStart.js';

const RECORD_HEADER_BYTES = 32;
const VALUE_BYTES = 8;

/** The committed transactions of one instance and the terms in which they were written. */
export class InstanceLog {
  private readonly entries: LogRecord[] = [];
  private terms: readonly TermStart[] = [];

  /** The committed records in order. */
  get records(): readonly LogRecord[] {
    return this.entries;
  }

  /** The terms that this instance knows, oldest first. */
  get history(): readonly TermStart[] {
    return this.terms;
  }

  /** The end of the log. */
  get position(): LogPosition {
    return this.entries.at(-1)?.position ?? toLogPosition(0);
  }

  /** The last term whose beginning the log has reached; 0 before any. */
  get term(): Term {
    return this.terms.findLast((start) => start.position <= this.position)?.term ?? toTerm(0);
  }

  /** The highest term that this instance has heard of; 0 before any. */
  get highestTerm(): Term {
    return this.terms.at(-1)?.term ?? toTerm(0);
  }

  /** Begins a term at the end of the log. */
  beginTerm(term: Term): TermStart {
    assertInvariant(term > this.highestTerm, 'a new term is higher than all before');
    const start = { term, position: this.position };
    this.terms = [...this.terms.filter(({ position }) => position <= start.position), start];
    return start;
  }

  /** Appends a transaction in the present term. */
  commit(changes: readonly Change[], committedAtMs: number): LogRecord {
    const position = toLogPosition(this.position + measureChanges(changes));
    const record = { term: this.term, position, committedAtMs, changes };
    this.entries.push(record);
    return record;
  }

  /** Appends a record that the primary sent. */
  append(record: LogRecord): void {
    assertInvariant(record.position > this.position, 'log records are appended in order');
    this.entries.push(record);
  }

  /** Takes over the primary's history; the log must not run beyond their common part. */
  adopt(history: readonly TermStart[]): void {
    assertInvariant(
      this.position <= this.findCommonEnd(history),
      'a history is adopted only by a log that is its prefix',
    );
    this.terms = history;
  }

  /** Drops the records after a position. */
  truncate(position: LogPosition): void {
    this.entries.length = this.findFirstAfter(position);
    this.terms = this.terms.filter((start) => start.position <= position);
  }

  /** The position up to which this log and another instance's history agree. */
  findCommonEnd(history: readonly TermStart[]): LogPosition {
    let shared = 0;
    while (isSameStart(this.terms[shared], history[shared])) {
      shared += 1;
    }
    const ownEnd = this.terms[shared]?.position ?? this.position;
    const otherEnd = history[shared]?.position ?? ownEnd;
    return shared === 0 ? toLogPosition(0) : toLogPosition(Math.min(ownEnd, otherEnd));
  }

  /** The index of the first record that ends after a position. */
  findFirstAfter(position: LogPosition): number {
    let low = 0;
    let high = this.entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const record = this.entries[middle];
      if (record !== undefined && record.position <= position) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}

function isSameStart(own: TermStart | undefined, other: TermStart | undefined): boolean {
  return own !== undefined && own.term === other?.term && own.position === other.position;
}

function measureChanges(changes: readonly Change[]): number {
  let bytes = RECORD_HEADER_BYTES;
  for (const change of changes) {
    bytes += RECORD_HEADER_BYTES;
    if (change.kind === 'put') {
      for (const value of change.row) {
        bytes += typeof value === 'string' ? value.length + VALUE_BYTES : VALUE_BYTES;
      }
    }
  }
  return bytes;
}
