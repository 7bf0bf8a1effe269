import { deepStrictEqual, ok, strictEqual } from 'node:assert';
import type { RequestId } from '../../../src/common/ids/index.js';
import {
  EntryKind,
  Role,
  type LogEntry,
  type MemberId,
  type Membership,
  type Snapshot,
} from '../../../src/decisions/consensus/index.js';
import type { SimulatedHost } from './simulatedHost.js';

/** Checks from outside what a replicated log must hold, whatever fails. */
export class InvariantChecker {
  /** The highest index whose proposer was told that it is committed. */
  completedIndex = 0;
  answeredReads = 0;
  leaseChecks = 0;
  committedMembership: Membership | undefined;
  private readonly leaders = new Map<number, MemberId>();
  private readonly committed: LogEntry<string>[] = [];
  private readonly pendingProposals = new Map<string, RequestId>();
  private readonly readFloors = new Map<RequestId, number>();

  get committedIndex(): number {
    return this.committed.length;
  }

  /** Term of the last committed entry. */
  get committedTerm(): number {
    return this.committed.at(-1)?.term ?? 0;
  }

  /** A term has at most one leader. */
  noteLeader(term: number, leader: MemberId): void {
    const known = this.leaders.get(term);
    ok(known === undefined || known === leader, `term ${term} has leaders ${known} and ${leader}`);
    this.leaders.set(term, leader);
  }

  /** Committed entries are contiguous, and the same everywhere for ever. */
  noteCommit(host: SimulatedHost, entry: LogEntry<string>): void {
    strictEqual(entry.index, host.appliedIndex + 1, 'commits come in index order');
    const known = this.committed[entry.index - 1];
    if (known === undefined) {
      strictEqual(entry.index, this.committed.length + 1);
      this.committed.push(entry);
      if (entry.kind === EntryKind.Membership) {
        this.committedMembership = entry.membership;
      }
    } else if (known !== entry) {
      deepStrictEqual(entry, known, 'a committed entry differs');
    }
    const key = `${host.number} ${host.incarnation} ${entry.index} ${entry.term}`;
    if (this.pendingProposals.delete(key)) {
      this.completedIndex = Math.max(this.completedIndex, entry.index);
    }
  }

  /** A snapshot holds exactly the committed commands up to its index. */
  noteRestore(snapshot: Snapshot, commands: readonly string[]): void {
    ok(snapshot.index <= this.committed.length, 'a snapshot holds only committed entries');
    const expected = this.committed
      .slice(0, snapshot.index)
      .flatMap((entry) => (entry.kind === EntryKind.Command ? [entry.command] : []));
    deepStrictEqual(commands, expected);
  }

  /** A proposal was appended by this host's process. */
  noteProposal(host: SimulatedHost, request: RequestId, index: number, term: number): void {
    this.pendingProposals.set(`${host.number} ${host.incarnation} ${index} ${term}`, request);
  }

  /** A read begins: it must see all that was completed before. */
  noteReadStart(request: RequestId): void {
    this.readFloors.set(request, this.completedIndex);
  }

  /** A read is answered from the host's state machine. */
  noteReadReady(host: SimulatedHost, request: RequestId, index: number): void {
    const floor = this.readFloors.get(request);
    ok(floor !== undefined, 'only a read that began is answered, and once');
    this.readFloors.delete(request);
    this.answeredReads++;
    ok(index >= floor, `a read at ${index} misses the completed commit ${floor}`);
    ok(host.appliedIndex >= index, 'a read is answered only after its index is applied');
  }

  /** While a lease is valid no other member leads a later term. */
  checkLeases(hosts: readonly SimulatedHost[], nowMs: number): void {
    for (const { member, getClock } of hosts.map(toView)) {
      if (member?.isLeaseValid(getClock(nowMs)) !== true) {
        continue;
      }
      this.leaseChecks++;
      for (const other of hosts) {
        const leadsLater = other.member?.role === Role.Leader && other.member.term > member.term;
        ok(!leadsLater, `${other.identity} leads while ${member.identity} holds a lease`);
      }
    }
  }
}

function toView(host: SimulatedHost) {
  return { member: host.member, getClock: (nowMs: number) => host.getClock(nowMs) };
}
