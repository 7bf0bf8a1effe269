import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { Election } from './election.js';
import { Follower } from './follower.js';
import { InputKind, type CompactInput, type ConsensusInput } from './input.js';
import { Leadership } from './leadership.js';
import { MemberCore, type ConsensusMemberOptions } from './memberCore.js';
import type { MemberId } from './memberId.js';
import type { Membership } from './membership.js';
import { MessageKind, type ConsensusMessage } from './message.js';
import { OutputKind, type ConsensusOutput } from './output.js';
import { Role } from './role.js';

/**
 * A member of the quorum that replicates the log. Does no I/O: takes inputs and the time, and
 * returns ordered outputs.
 */
export class ConsensusMember<Command> {
  private readonly core: MemberCore<Command>;
  private readonly election: Election<Command>;
  private readonly follower: Follower<Command>;
  private leadership: Leadership<Command> | undefined;
  private reportedState = '';

  constructor(options: ConsensusMemberOptions<Command>) {
    this.core = new MemberCore(options);
    this.election = new Election(this.core);
    this.follower = new Follower(this.core);
  }

  get identity(): MemberId {
    return this.core.identity;
  }

  get role(): Role {
    return this.core.role;
  }

  get term(): number {
    return this.core.term;
  }

  /** The leader of the current term, if known. */
  get leader(): MemberId | undefined {
    return this.core.leader;
  }

  get commitIndex(): number {
    return this.core.commitIndex;
  }

  get lastIndex(): number {
    return this.core.log.lastIndex;
  }

  /** The membership in force, committed or not. */
  get membership(): Membership {
    return this.core.log.membership;
  }

  /** Whether the membership in force is committed. */
  get isMembershipCommitted(): boolean {
    return this.core.log.membershipIndex <= this.core.commitIndex;
  }

  /** Whether this member leads and no other can lead a later term before the lease ends. */
  isLeaseValid(nowMs: number): boolean {
    return this.core.role === Role.Leader && this.leadership?.isLeaseValid(nowMs) === true;
  }

  /**
   * Starts from the stored state; call once before any input. `unacknowledgedSinceMs` is a time
   * after which the member acknowledged no leader in an earlier run. If that time is at least the
   * shortest election timeout ago, the member campaigns within one heartbeat interval, since a
   * pre-vote disrupts no leader.
   */
  start(nowMs: number, unacknowledgedSinceMs = nowMs): ConsensusOutput<Command>[] {
    const { core } = this;
    core.nowMs = nowMs;
    core.leaderContactMs = unacknowledgedSinceMs;
    core.initializeElectionDeadline();
    const { snapshot } = core.log;
    if (snapshot !== undefined && snapshot.index > 0) {
      core.emit({ kind: OutputKind.RestoreSnapshot, snapshot });
    }
    return this.finish();
  }

  /** Processes one input; `nowMs` is monotonic. */
  handle(input: ConsensusInput<Command>, nowMs: number): ConsensusOutput<Command>[] {
    this.core.nowMs = Math.max(this.core.nowMs, nowMs);
    this.dispatch(input);
    return this.finish();
  }

  private dispatch(input: ConsensusInput<Command>): void {
    switch (input.kind) {
      case InputKind.Tick:
        this.tick();
        break;
      case InputKind.Receive:
        this.receive(input.message);
        break;
      case InputKind.Persisted:
        this.completePersist(input.sequence);
        break;
      case InputKind.Compact:
        this.compact(input);
        break;
      case InputKind.TransferLeadership:
        this.leadership?.transfer();
        break;
      case InputKind.Propose:
      case InputKind.ChangeMembership:
      case InputKind.RequestReadBarrier:
        this.request(input);
        break;
    }
  }

  private request(input: RequestInput<Command>): void {
    const { leadership, core } = this;
    const { request } = input;
    if (leadership === undefined) {
      const isRead = input.kind === InputKind.RequestReadBarrier;
      const kind = isRead ? OutputKind.ReadFailed : OutputKind.ProposalRefused;
      core.emit({ kind, request, fault: this.createNotLeaderFault() });
      return;
    }
    switch (input.kind) {
      case InputKind.Propose:
        leadership.propose(request, input.command);
        break;
      case InputKind.ChangeMembership:
        leadership.changeMembership(request, input.change);
        break;
      case InputKind.RequestReadBarrier:
        leadership.requestRead(request);
        break;
    }
  }

  private tick(): void {
    this.leadership?.tick();
    this.election.tick();
  }

  private receive(message: ConsensusMessage<Command>): void {
    const { core, election, follower } = this;
    if (core.rules.mustMatchIdentity() && message.to !== core.identity) {
      return;
    }
    switch (message.kind) {
      case MessageKind.PreVoteRequest:
        election.answerPreVote(message, this.hasRecentLeader());
        break;
      case MessageKind.VoteRequest:
        election.answerVote(message, this.hasRecentLeader());
        break;
      case MessageKind.AppendRequest:
        follower.receiveAppend(message);
        break;
      case MessageKind.SnapshotRequest:
        follower.receiveSnapshot(message);
        break;
      case MessageKind.TransferRequest:
        this.receiveTransfer(message.from, message.term);
        break;
      case MessageKind.PreVoteResponse:
      case MessageKind.VoteResponse:
      case MessageKind.AppendResponse:
        this.receiveResponse(message);
        break;
    }
  }

  private receiveResponse(message: ResponseMessage<Command>): void {
    const { core, election } = this;
    if (message.term > core.term) {
      core.becomeFollower(message.term, undefined);
      return;
    }
    if (message.kind === MessageKind.PreVoteResponse) {
      election.receivePreVote(message);
    } else if (message.kind === MessageKind.VoteResponse) {
      this.leadIfElected(election.receiveVote(message));
    } else if (message.requestTerm === core.term) {
      this.leadership?.receive(message);
    }
  }

  private receiveTransfer(from: MemberId, term: number): void {
    const { core } = this;
    const isFromLeader = term === core.term && core.leader === from;
    if (isFromLeader && core.isVoter && !core.isDiskStalled) {
      this.election.startElection(true);
    }
  }

  private completePersist(sequence: number): void {
    this.core.completePersist(sequence);
    this.leadIfElected(this.election.countOwnVote());
    this.leadership?.advance();
  }

  private leadIfElected(isElected: boolean): void {
    const { core } = this;
    if (isElected) {
      core.role = Role.Leader;
      core.leader = core.identity;
      this.leadership = new Leadership(core);
    }
  }

  private compact(input: CompactInput): void {
    const { core } = this;
    const size = input.state.byteLength;
    const limit = core.settings.maximumSnapshotBytes;
    if (size > limit) {
      const context = { step: 'consensus.compact' };
      const fault = createFault(Diagnostics.SnapshotTooLarge, { size, limit }, context);
      core.emit({ kind: OutputKind.SnapshotRefused, fault });
    } else if (input.index > core.log.snapshotIndex && input.index <= core.commitIndex) {
      const snapshot = core.log.createSnapshot(input.index, input.state);
      core.log.compact(snapshot, core.settings.trailingEntries);
      core.persist({ snapshot });
    }
  }

  private hasRecentLeader(): boolean {
    const { core, leadership } = this;
    return leadership === undefined
      ? core.rules.isLeaderRecent(core.leaderContactMs, core.nowMs, core.settings)
      : leadership.hasRecentQuorumContact();
  }

  private finish(): ConsensusOutput<Command>[] {
    const { core, leadership } = this;
    if (leadership !== undefined && (core.role !== Role.Leader || core.term !== leadership.term)) {
      leadership.failPendingReads();
      this.leadership = undefined;
    }
    const state = `${core.role} ${core.term} ${core.leader ?? ''}`;
    if (state !== this.reportedState) {
      this.reportedState = state;
      const { role, term, leader } = core;
      core.emit({ kind: OutputKind.LeadershipChanged, role, term, leader });
    }
    return core.takeOutputs();
  }

  private createNotLeaderFault(): Fault {
    return createFault(
      Diagnostics.NotControlLeader,
      { leader: this.core.leader ?? '' },
      { step: 'consensus.request' },
    );
  }
}

type RequestInput<Command> = Extract<ConsensusInput<Command>, { readonly request: unknown }>;

type ResponseMessage<Command> = Extract<
  ConsensusMessage<Command>,
  {
    readonly kind:
      MessageKind.PreVoteResponse | MessageKind.VoteResponse | MessageKind.AppendResponse;
  }
>;
