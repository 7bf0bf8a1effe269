import { assertInvariant } from '../../src/common/diagnostics/index.js';
import type { LogPosition, Term } from '../../src/common/ids/index.js';
import { InstanceLog, type LogRecord, type TermStart } from '../log/index.js';
import { PlanCache } from '../sql/index.js';
import { Database, LockTable, Transaction } from '../storage/index.js';

/** The committed state of an instance, its log and its role. */
export class Engine {
  readonly log = new InstanceLog();
  readonly locks = new LockTable();
  readonly plans = new PlanCache();
  private committed = new Database();
  private replica = true;
  /** Rises whenever transactions that are open must not commit any more. */
  private generation = 0;
  private replayedAtMs: number | undefined;
  private readonly recordHandlers = new Set<(record: LogRecord) => void>();

  /** Whether this instance refuses writes and follows a primary. */
  get isReplica(): boolean {
    return this.replica;
  }

  /** Wall-clock commit time of the last replayed record in milliseconds; absent before any. */
  get lastReplayMs(): number | undefined {
    return this.replayedAtMs;
  }

  /** Begins a transaction. */
  begin(): Transaction {
    return new Transaction(this.committed, this.generation);
  }

  /** Whether a transaction may commit: its history still stands, and a replica writes nothing. */
  canCommit(transaction: Transaction): boolean {
    const isWriter = !this.replica && transaction.generation === this.generation;
    return isWriter || !transaction.hasChanges;
  }

  /** Commits a transaction. */
  commit(transaction: Transaction): void {
    assertInvariant(this.canCommit(transaction), 'only a primary commits changes');
    const changes = transaction.hasChanges ? transaction.getChanges() : [];
    if (changes.length > 0) {
      const record = this.log.commit(changes, Date.now());
      this.committed.apply(changes);
      this.notifyRecord(record);
    }
    this.end(transaction);
  }

  /** Drops a transaction's changes. */
  rollback(transaction: Transaction): void {
    this.end(transaction);
  }

  /** Applies a record of the primary. */
  replay(record: LogRecord): void {
    assertInvariant(this.replica, 'only a replica replays records');
    this.log.append(record);
    this.committed.apply(record.changes);
    this.replayedAtMs = record.committedAtMs;
    this.notifyRecord(record);
  }

  /** Becomes the primary of a term that begins at the end of the log. */
  promote(term: Term): TermStart {
    this.replica = false;
    return this.log.beginTerm(term);
  }

  /** Becomes a replica. */
  demote(): void {
    this.replica = true;
    this.generation += 1;
  }

  /** Follows another history: drops what is not part of it; tells whether anything was dropped. */
  follow(history: readonly TermStart[]): boolean {
    const end = this.log.findCommonEnd(history);
    const isLonger = this.log.position > end;
    if (isLonger) {
      this.truncate(end);
    }
    this.log.adopt(history);
    return isLonger;
  }

  /** Calls a handler after each record that the log takes; the result takes the handler back. */
  onRecord(handler: (record: LogRecord) => void): () => void {
    this.recordHandlers.add(handler);
    return () => this.recordHandlers.delete(handler);
  }

  private truncate(position: LogPosition): void {
    this.log.truncate(position);
    this.committed = new Database();
    for (const record of this.log.records) {
      this.committed.apply(record.changes);
    }
    this.replayedAtMs = this.log.records.at(-1)?.committedAtMs;
  }

  private end(transaction: Transaction): void {
    this.locks.release(transaction);
    transaction.notifyEnd();
  }

  private notifyRecord(record: LogRecord): void {
    for (const handler of this.recordHandlers) {
      handler(record);
    }
  }
}
