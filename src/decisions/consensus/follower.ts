import { assertInvariant } from '../../common/diagnostics/index.js';
import type { LogEntry } from './logEntry.js';
import type { MemberCore } from './memberCore.js';
import {
  MessageKind,
  type AppendRequest,
  type AppendResponse,
  type SnapshotRequest,
} from './message.js';
import { OutputKind } from './output.js';

/** The follower's side of log replication. */
export class Follower<Command> {
  /** Index up to which the log is known to equal the leader's, in the term `matchedTerm`. */
  private matchedIndex = 0;
  private matchedTerm = 0;

  constructor(private readonly core: MemberCore<Command>) {}

  /**
   * Appends the leader's entries after the matching prefix, or refuses with the next index to try.
   */
  receiveAppend(message: AppendRequest<Command>): void {
    const { core } = this;
    if (!this.acceptLeader(message)) {
      return;
    }
    if (message.previousIndex < core.log.compactedIndex) {
      this.acknowledgeDurable(message, core.commitIndex);
    } else if (core.log.getTerm(message.previousIndex) !== message.previousTerm) {
      this.refuse(message, this.getNextIndexHint(message.previousIndex));
    } else {
      this.append(message);
    }
  }

  /** Installs the leader's snapshot unless everything in it is already committed here. */
  receiveSnapshot(message: SnapshotRequest): void {
    const { core } = this;
    if (!this.acceptLeader(message)) {
      return;
    }
    const { snapshot } = message;
    if (snapshot.index <= core.commitIndex) {
      this.acknowledgeDurable(message, core.commitIndex);
      return;
    }
    const keepsSuffix = core.log.install(snapshot);
    if (!keepsSuffix) {
      core.durability.invalidateFrom(Math.max(core.commitIndex, this.matchedIndex) + 1);
    }
    core.commitSnapshot(snapshot.index);
    core.persist(keepsSuffix ? { snapshot } : { snapshot, truncateFrom: snapshot.index + 1 });
    core.emit({ kind: OutputKind.RestoreSnapshot, snapshot });
    core.sendWhenDurable(this.createResponse(message, { matchIndex: snapshot.index }));
  }

  private acceptLeader(message: AppendRequest<Command> | SnapshotRequest): boolean {
    const { core } = this;
    if (message.term < core.term) {
      this.refuse(message, 0);
      return false;
    }
    assertInvariant(
      core.leader === undefined || core.leader === message.from || message.term > core.term,
      'a term has one leader',
    );
    core.becomeFollower(message.term, message.from);
    core.leaderContactMs = core.nowMs;
    if (this.matchedTerm !== core.term) {
      this.matchedTerm = core.term;
      this.matchedIndex = 0;
    }
    return true;
  }

  private append(message: AppendRequest<Command>): void {
    const { core } = this;
    const newEntries = this.getNewEntries(message.entries);
    const matchIndex = message.previousIndex + message.entries.length;
    if (newEntries.length > 0) {
      this.storeNewEntries(newEntries);
    }
    this.matchedIndex = Math.max(this.matchedIndex, matchIndex);
    core.commitTo(Math.max(core.commitIndex, Math.min(message.commitIndex, matchIndex)));
    if (newEntries.length === 0) {
      this.acknowledgeDurable(message, matchIndex);
    } else if (core.rules.mustPersistEntries()) {
      core.sendWhenDurable(this.createResponse(message, { matchIndex }));
    } else {
      core.send(this.createResponse(message, { matchIndex }));
    }
  }

  /** The entries from the first one on that the log lacks or holds with another term. */
  private getNewEntries(entries: readonly LogEntry<Command>[]): readonly LogEntry<Command>[] {
    const { log } = this.core;
    const start = entries.findIndex((entry) => log.getTerm(entry.index) !== entry.term);
    return start === -1 ? [] : entries.slice(start);
  }

  private storeNewEntries(newEntries: readonly LogEntry<Command>[]): void {
    const { core } = this;
    const firstIndex = newEntries[0]?.index ?? core.log.lastIndex + 1;
    const hasConflict = firstIndex <= core.log.lastIndex;
    if (hasConflict) {
      assertInvariant(firstIndex > core.commitIndex, 'a committed entry is never overwritten');
      core.log.truncateFrom(firstIndex);
    }
    core.log.append(newEntries);
    core.persist(
      hasConflict ? { truncateFrom: firstIndex, entries: newEntries } : { entries: newEntries },
    );
  }

  /** Acknowledges the durable entries at once, so that heartbeats do not wait for the disk. */
  private acknowledgeDurable(
    message: AppendRequest<Command> | SnapshotRequest,
    matchIndex: number,
  ): void {
    const { core } = this;
    const durableIndex = Math.min(matchIndex, core.durability.lastIndex);
    const response = this.createResponse(message, { matchIndex: durableIndex });
    if (core.durability.hardState.term === core.term) {
      core.send(response);
    } else {
      core.sendWhenDurable(response);
    }
  }

  private getNextIndexHint(previousIndex: number): number {
    const { log, commitIndex } = this.core;
    if (previousIndex > log.lastIndex) {
      return log.lastIndex + 1;
    }
    return Math.max(commitIndex + 1, log.getFirstIndexOfTerm(previousIndex));
  }

  private refuse(message: AppendRequest<Command> | SnapshotRequest, nextIndex: number): void {
    const refusedIndex =
      message.kind === MessageKind.AppendRequest ? message.previousIndex : message.snapshot.index;
    const refusal = { accepted: false, refusedIndex, nextIndex };
    this.core.send(this.createResponse(message, refusal));
  }

  private createResponse(
    message: AppendRequest<Command> | SnapshotRequest,
    outcome: Partial<AppendResponse>,
  ): AppendResponse {
    const { core } = this;
    return {
      kind: MessageKind.AppendResponse,
      from: core.identity,
      to: message.from,
      term: core.term,
      requestTerm: message.term,
      round: message.round,
      sentMs: message.sentMs,
      accepted: true,
      matchIndex: 0,
      refusedIndex: 0,
      nextIndex: 0,
      ...outcome,
    };
  }
}
