import {
  EntryKind,
  OutputKind,
  toMemberId,
  type LogEntry,
  type PersistOutput,
} from '../../../src/decisions/consensus/index.js';
import type { SeededRandom } from '../seededRandom.js';

/** The member whose log the changes belong to. */
export const storedIdentity = toMemberId('member-1');

/** Makes valid changes: votes, appended entries, truncations and snapshots. */
export class ChangeMaker {
  private sequence = 0;
  private term = 0;
  private lastIndex = 0;
  private snapshotIndex = 0;

  constructor(private readonly random: SeededRandom) {}

  next(): PersistOutput<string> {
    this.sequence++;
    const base = {
      kind: OutputKind.Persist as const,
      sequence: this.sequence,
      hardState: undefined,
      snapshot: undefined,
      truncateFrom: undefined,
      entries: [],
    };
    const choice = this.random.next();
    if (choice < 0.2) {
      this.term++;
      return { ...base, hardState: { term: this.term, votedFor: storedIdentity } };
    }
    if (choice < 0.35 && this.lastIndex > this.snapshotIndex) {
      this.snapshotIndex += 1 + this.random.nextBelow(this.lastIndex - this.snapshotIndex);
      const state = new TextEncoder().encode(`state ${this.snapshotIndex}`);
      const membership = { voters: [storedIdentity], learners: [] };
      const snapshot = { index: this.snapshotIndex, term: this.term, membership, state };
      return { ...base, snapshot };
    }
    return { ...base, ...this.append() };
  }

  private append(): Pick<PersistOutput<string>, 'truncateFrom' | 'entries'> {
    const kept =
      this.snapshotIndex + this.random.nextBelow(this.lastIndex - this.snapshotIndex + 1);
    const truncates = this.random.chance(0.3) && kept < this.lastIndex;
    this.lastIndex = truncates ? kept : this.lastIndex;
    const truncateFrom = truncates ? this.lastIndex + 1 : undefined;
    const entries: LogEntry<string>[] = [];
    const count = this.random.nextBelow(4);
    for (let added = 0; added < count; added++) {
      this.lastIndex++;
      const command = `command ${this.lastIndex} ${'x'.repeat(this.random.nextBelow(40))}`;
      entries.push({
        kind: EntryKind.Command,
        index: this.lastIndex,
        term: this.term,
        command,
        sizeBytes: command.length,
      });
    }
    return { truncateFrom, entries };
  }
}
