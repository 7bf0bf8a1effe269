import {
  assertInvariant,
  createFault,
  Diagnostics,
  type Fault,
} from '../../common/diagnostics/index.js';
import type { RequestId } from '../../common/ids/index.js';
import { EntryKind, type LogEntry } from './logEntry.js';
import type { MemberCore } from './memberCore.js';
import type { MemberId } from './memberId.js';
import { applyMembershipChange, type MembershipChange } from './membershipChange.js';
import { getMembershipRefusal } from './membershipRefusal.js';
import { MessageKind, type AppendResponse } from './message.js';
import { OutputKind } from './output.js';
import { ReadBarriers } from './readBarriers.js';
import { Replication } from './replication.js';
import { Role } from './role.js';

/** The leader role of a member during one term. */
export class Leadership<Command> {
  readonly term: number;
  private readonly replication: Replication<Command>;
  private readonly reads = new ReadBarriers();
  private nextHeartbeatMs: number;
  private transferDeadlineMs: number | undefined;
  private transferTarget: MemberId | undefined;

  constructor(private readonly core: MemberCore<Command>) {
    this.term = core.term;
    this.nextHeartbeatMs = core.nowMs;
    this.replication = new Replication(core);
    this.append({ kind: EntryKind.Empty, index: core.log.lastIndex + 1, term: core.term });
    this.sendHeartbeats();
  }

  /** Sends heartbeats; steps down without a quorum or at the deadline of a transfer. */
  tick(): void {
    const { core, replication } = this;
    const sinceContactMs = core.nowMs - replication.getQuorumContactMs();
    const isTransferOver =
      this.transferDeadlineMs !== undefined && core.nowMs >= this.transferDeadlineMs;
    if (sinceContactMs >= core.settings.maximumElectionTimeoutMs || isTransferOver) {
      core.becomeFollower(core.term, undefined);
    } else if (core.nowMs >= this.nextHeartbeatMs) {
      this.sendHeartbeats();
    }
  }

  /**
   * Whether the lease is valid, during which a quorum grants no vote to others. The lease lasts for
   * the shortest election timeout less the clock drift bound; a transfer ends it early.
   */
  isLeaseValid(nowMs: number): boolean {
    const { minimumElectionTimeoutMs, clockDriftBound } = this.core.settings;
    const leaseMs = minimumElectionTimeoutMs * (1 - clockDriftBound);
    const isTransferring = this.transferDeadlineMs !== undefined;
    return !isTransferring && nowMs < this.replication.getQuorumLeaseStart() + leaseMs;
  }

  /** Whether a quorum responded within the shortest election timeout. */
  hasRecentQuorumContact(): boolean {
    const sinceContactMs = this.core.nowMs - this.replication.getQuorumContactMs();
    return sinceContactMs < this.core.settings.minimumElectionTimeoutMs;
  }

  /** Appends a command. */
  propose(request: RequestId, command: Command): void {
    const { core } = this;
    const sizeBytes = core.measureCommand(command);
    const refusal = this.getTransferRefusal() ?? this.getSizeRefusal(sizeBytes);
    if (refusal !== undefined) {
      core.emit({ kind: OutputKind.ProposalRefused, request, fault: refusal });
      return;
    }
    const index = core.log.lastIndex + 1;
    this.appendProposal(request, {
      kind: EntryKind.Command,
      index,
      term: core.term,
      command,
      sizeBytes,
    });
  }

  /** Appends a change of one member. */
  changeMembership(request: RequestId, change: MembershipChange): void {
    const { core } = this;
    const refusal =
      this.getTransferRefusal() ?? getMembershipRefusal(core, this.replication, change);
    if (refusal !== undefined) {
      core.emit({ kind: OutputKind.ProposalRefused, request, fault: refusal });
      return;
    }
    const membership = applyMembershipChange(core.log.membership, change);
    const index = core.log.lastIndex + 1;
    this.appendProposal(request, {
      kind: EntryKind.Membership,
      index,
      term: core.term,
      membership,
    });
    this.replication.updatePeers();
    this.advance();
  }

  /** Starts a linearizable read. */
  requestRead(request: RequestId): void {
    this.reads.add(request);
    this.advanceReads();
  }

  /** Processes a peer's response to entries or heartbeats. */
  receive(response: AppendResponse): void {
    this.replication.receive(response);
    this.advance();
  }

  /**
   * Commits the entries that a quorum holds, then sends further entries, answers confirmed reads
   * and continues a transfer.
   */
  advance(): void {
    const { core } = this;
    const index = this.replication.getQuorumIndex();
    if (index > core.commitIndex) {
      this.tryCommit(index);
    }
    if (core.role === Role.Leader) {
      this.replication.sendEntries();
      this.advanceReads();
      this.advanceTransfer();
    }
  }

  /** Transfers leadership to the voter whose log is furthest ahead. */
  transfer(): void {
    const { core } = this;
    this.transferDeadlineMs ??= core.nowMs + core.settings.maximumElectionTimeoutMs;
    this.advanceTransfer();
  }

  /** Fails the waiting reads, since this member no longer leads. */
  failPendingReads(): void {
    const { core } = this;
    for (const request of this.reads.takeAll()) {
      const fault = createFault(
        Diagnostics.NotControlLeader,
        { leader: core.leader ?? '' },
        { step: 'consensus.read' },
      );
      core.emit({ kind: OutputKind.ReadFailed, request, fault });
    }
  }

  private tryCommit(index: number): void {
    const { core } = this;
    const entryTerm = core.log.getTerm(index) ?? 0;
    if (!core.rules.canCommitByCounting(entryTerm, core.term)) {
      return;
    }
    assertInvariant(entryTerm === core.term, 'only entries of the own term commit by counting');
    core.commitTo(index);
    if (!core.isVoter && core.log.membershipIndex <= core.commitIndex) {
      this.stepDownAfterRemoval();
    }
  }

  private stepDownAfterRemoval(): void {
    const { core } = this;
    this.sendHeartbeats();
    this.sendTransferTo(this.getTransferTarget());
    core.becomeFollower(core.term, undefined);
  }

  private appendProposal(request: RequestId, entry: LogEntry<Command>): void {
    const { core } = this;
    const { index, term } = entry;
    core.emit({ kind: OutputKind.ProposalAppended, request, index, term });
    this.append(entry);
    this.replication.sendEntries();
  }

  private append(entry: LogEntry<Command>): void {
    const { core } = this;
    core.log.append([entry]);
    core.persist({ entries: [entry] });
  }

  private sendHeartbeats(): void {
    const { core } = this;
    this.nextHeartbeatMs = core.nowMs + core.settings.heartbeatMs;
    this.replication.sendHeartbeats();
    if (this.hasCommittedOwnTerm()) {
      this.reads.bindRound(this.replication.round, core.commitIndex);
    }
  }

  private hasCommittedOwnTerm(): boolean {
    const { core } = this;
    return core.log.getTerm(core.commitIndex) === core.term;
  }

  private advanceReads(): void {
    const { core } = this;
    if (!core.rules.mustConfirmRead()) {
      this.reads.bindRound(0, core.commitIndex);
    } else if (this.reads.needsRound && this.hasCommittedOwnTerm()) {
      this.sendHeartbeats();
    }
    for (const { request, index } of this.reads.takeConfirmed(this.replication.getQuorumRound())) {
      core.emit({ kind: OutputKind.ReadReady, request, index });
    }
  }

  private advanceTransfer(): void {
    if (this.transferDeadlineMs === undefined || this.transferTarget !== undefined) {
      return;
    }
    const target = this.getTransferTarget();
    const progress = target === undefined ? undefined : this.replication.getProgress(target);
    if (progress?.matchIndex === this.core.log.lastIndex) {
      this.transferTarget = target;
      this.sendTransferTo(target);
    }
  }

  private getTransferTarget(): MemberId | undefined {
    const { core, replication } = this;
    const candidates = core.log.membership.voters.filter((voter) => voter !== core.identity);
    const getMatch = (voter: MemberId) => replication.getProgress(voter)?.matchIndex ?? 0;
    return candidates.sort((left, right) => getMatch(right) - getMatch(left))[0];
  }

  private sendTransferTo(to: MemberId | undefined): void {
    const { core } = this;
    if (to !== undefined) {
      core.send({ kind: MessageKind.TransferRequest, from: core.identity, to, term: core.term });
    }
  }

  private getTransferRefusal(): Fault | undefined {
    return this.transferDeadlineMs === undefined
      ? undefined
      : createFault(Diagnostics.LeadershipTransferring, {}, { step: 'consensus.propose' });
  }

  private getSizeRefusal(sizeBytes: number): Fault | undefined {
    const limit = this.core.settings.maximumBatchBytes;
    return sizeBytes <= limit
      ? undefined
      : createFault(
          Diagnostics.CommandTooLarge,
          { size: sizeBytes, limit },
          { step: 'consensus.propose' },
        );
  }
}
