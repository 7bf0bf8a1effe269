import { assertInvariant } from '../../common/diagnostics/index.js';
import { EntryKind, type LogEntry } from './logEntry.js';
import { emptyMembership, type Membership } from './membership.js';
import type { Snapshot } from './snapshot.js';
import type { StoredState } from './storedState.js';

interface IndexedMembership {
  readonly index: number;
  readonly membership: Membership;
}

/** The part of the log that a member keeps in memory, with the memberships in it. */
export class MemberLog<Command> {
  private baseIndex: number;
  private baseTerm: number;
  private entries: LogEntry<Command>[];
  private snapshotValue: Snapshot | undefined;
  private memberships: IndexedMembership[];

  constructor(stored: StoredState<Command>) {
    this.snapshotValue = stored.snapshot;
    this.baseIndex = stored.snapshot?.index ?? 0;
    this.baseTerm = stored.snapshot?.term ?? 0;
    this.entries = [];
    this.memberships = [toIndexedMembership(stored.snapshot)];
    this.append(stored.entries);
  }

  /** The index before the first entry in memory; its term is still known. */
  get compactedIndex(): number {
    return this.baseIndex;
  }

  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  get lastTerm(): number {
    return this.entries.at(-1)?.term ?? this.baseTerm;
  }

  get snapshot(): Snapshot | undefined {
    return this.snapshotValue;
  }

  get snapshotIndex(): number {
    return this.snapshotValue?.index ?? 0;
  }

  /** The membership in force: that of the last membership entry, committed or not. */
  get membership(): Membership {
    return this.memberships.at(-1)?.membership ?? emptyMembership;
  }

  /** The index of the entry that set the membership in force. */
  get membershipIndex(): number {
    return this.memberships.at(-1)?.index ?? 0;
  }

  /** The term of the entry at the index; undefined when it is not known. */
  getTerm(index: number): number | undefined {
    return index === this.baseIndex ? this.baseTerm : this.getEntry(index)?.term;
  }

  /** The entry at the index; undefined when it is not in memory. */
  getEntry(index: number): LogEntry<Command> | undefined {
    return index > this.baseIndex ? this.entries[index - this.baseIndex - 1] : undefined;
  }

  /** The entries after `previousIndex`, up to and including `lastIndex`. */
  getEntries(previousIndex: number, lastIndex: number): readonly LogEntry<Command>[] {
    return this.entries.slice(previousIndex - this.baseIndex, lastIndex - this.baseIndex);
  }

  /**
   * A batch of entries after `previousIndex` within both limits. The first entry is included even if
   * it exceeds `maximumBytes`.
   */
  getBatch(
    previousIndex: number,
    maximumEntries: number,
    maximumBytes: number,
  ): readonly LogEntry<Command>[] {
    const batch = this.getEntries(previousIndex, previousIndex + maximumEntries);
    let bytes = 0;
    const count = batch.findIndex((entry) => {
      bytes += getEntryBytes(entry);
      return bytes > maximumBytes;
    });
    return count === -1 ? batch : batch.slice(0, Math.max(1, count));
  }

  /** The first index that has the same term as the entry at the index. */
  getFirstIndexOfTerm(index: number): number {
    const term = this.getTerm(index);
    let first = index;
    while (first - 1 > this.baseIndex && this.getTerm(first - 1) === term) {
      first--;
    }
    return first;
  }

  /** Appends entries that follow the last one. */
  append(entries: readonly LogEntry<Command>[]): void {
    for (const entry of entries) {
      assertInvariant(entry.index === this.lastIndex + 1, 'log entries are contiguous');
      this.entries.push(entry);
      if (entry.kind === EntryKind.Membership) {
        this.memberships.push({ index: entry.index, membership: entry.membership });
      }
    }
  }

  /** Drops the entries from the index on. */
  truncateFrom(index: number): void {
    this.entries.length = Math.max(0, Math.min(this.entries.length, index - this.baseIndex - 1));
    this.memberships = this.memberships.filter(
      (indexed, order) => order === 0 || indexed.index < index,
    );
  }

  /** Creates a snapshot at a committed index whose term is still known. */
  createSnapshot(index: number, state: Uint8Array): Snapshot {
    const term = this.getTerm(index);
    assertInvariant(term !== undefined, 'a snapshot covers a known entry');
    return { index, term, membership: this.getMembershipAt(index), state };
  }

  /**
   * Adopts a snapshot of this member's state and drops the entries that it covers, except the last
   * `trailingEntries`.
   */
  compact(snapshot: Snapshot, trailingEntries: number): void {
    this.snapshotValue = snapshot;
    const newBase = Math.max(this.baseIndex, snapshot.index - trailingEntries);
    const newBaseTerm = this.getTerm(newBase);
    assertInvariant(newBaseTerm !== undefined, 'a log is compacted within its entries');
    this.entries = this.entries.slice(newBase - this.baseIndex);
    this.baseIndex = newBase;
    this.baseTerm = newBaseTerm;
    this.dropMembershipsBefore(snapshot);
  }

  /** Installs the leader's snapshot; returns whether the entries after it were kept. */
  install(snapshot: Snapshot): boolean {
    const keepsSuffix = this.getTerm(snapshot.index) === snapshot.term;
    const suffix = keepsSuffix ? this.getEntries(snapshot.index, this.lastIndex) : [];
    this.snapshotValue = snapshot;
    this.baseIndex = snapshot.index;
    this.baseTerm = snapshot.term;
    this.entries = [];
    this.memberships = [toIndexedMembership(snapshot)];
    this.append(suffix);
    return keepsSuffix;
  }

  private getMembershipAt(index: number): Membership {
    const indexed = this.memberships.findLast((candidate) => candidate.index <= index);
    return indexed?.membership ?? emptyMembership;
  }

  private dropMembershipsBefore(snapshot: Snapshot): void {
    const later = this.memberships.filter((indexed) => indexed.index > snapshot.index);
    this.memberships = [toIndexedMembership(snapshot), ...later];
  }
}

function toIndexedMembership(snapshot: Snapshot | undefined): IndexedMembership {
  return { index: snapshot?.index ?? 0, membership: snapshot?.membership ?? emptyMembership };
}

function getEntryBytes<Command>(entry: LogEntry<Command>): number {
  return entry.kind === EntryKind.Command ? entry.sizeBytes : 0;
}
