import { assertInvariant } from '../../common/diagnostics/index.js';
import type { MemberCore } from './memberCore.js';
import type { MemberId } from './memberId.js';
import { hasQuorum, isVoter } from './membership.js';
import {
  MessageKind,
  type PreVoteRequest,
  type PreVoteResponse,
  type VoteRequest,
  type VoteResponse,
} from './message.js';
import { Role } from './role.js';

/** Campaigns for leadership and answers the campaigns of others. */
export class Election<Command> {
  private campaign = 0;
  private isTransfer = false;
  private nextRequestMs = 0;
  private readonly grants = new Set<MemberId>();

  constructor(private readonly core: MemberCore<Command>) {}

  /** Starts a campaign after an election timeout without a leader; repeats unanswered requests. */
  tick(): void {
    const { core } = this;
    if (core.role === Role.Leader) {
      return;
    }
    if (core.nowMs >= core.electionDeadlineMs) {
      this.handleElectionTimeout();
    } else if (core.role !== Role.Follower && core.nowMs >= this.nextRequestMs) {
      this.repeatRequests();
    }
  }

  /** Becomes a candidate of the next term. */
  startElection(isTransfer: boolean): void {
    const { core } = this;
    this.startCampaign(Role.Candidate);
    this.isTransfer = isTransfer;
    core.setHardState({ term: core.term + 1, votedFor: core.identity });
    this.requestVotes();
  }

  /** Counts this member's own vote once it is durable; returns whether the election is won. */
  countOwnVote(): boolean {
    const { core } = this;
    const { hardState } = core.durability;
    const isDurable = hardState.term === core.term && hardState.votedFor === core.identity;
    return core.role === Role.Candidate && isDurable && this.countGrant(core.identity);
  }

  /** Counts a vote; returns whether the election is won. */
  receiveVote(message: VoteResponse): boolean {
    const { core } = this;
    const isCurrent = message.term === core.term && message.campaign === this.campaign;
    return (
      core.role === Role.Candidate && isCurrent && message.granted && this.countGrant(message.from)
    );
  }

  /** Counts a pre-vote and starts the election when it is granted by a quorum. */
  receivePreVote(message: PreVoteResponse): void {
    const isCurrent = message.campaign === this.campaign;
    if (this.core.role === Role.PreCandidate && isCurrent && message.granted) {
      if (this.countGrant(message.from)) {
        this.startElection(false);
      }
    }
  }

  /** Answers whether the sender would get the vote; changes no state. */
  answerPreVote(message: PreVoteRequest, hasRecentLeader: boolean): void {
    const { core } = this;
    const isUpToDate = this.isUpToDate(message.lastTerm, message.lastIndex);
    const mayVote = !hasRecentLeader && !core.isDiskStalled && message.term >= core.term;
    const granted = mayVote && isUpToDate && this.yieldsTo(message);
    core.send({
      kind: MessageKind.PreVoteResponse,
      from: core.identity,
      to: message.from,
      term: core.term,
      campaign: message.campaign,
      granted,
    });
  }

  /** Grants at most one vote a term, to a candidate whose log is not behind. */
  answerVote(message: VoteRequest, hasRecentLeader: boolean): void {
    const { core } = this;
    if (hasRecentLeader && !message.isTransfer) {
      return;
    }
    if (message.term > core.term) {
      core.becomeFollower(message.term, undefined);
    }
    const granted = message.term === core.term && this.canVoteFor(message);
    if (granted) {
      this.vote(message.from);
    }
    const response: VoteResponse = {
      kind: MessageKind.VoteResponse,
      from: core.identity,
      to: message.from,
      term: core.term,
      campaign: message.campaign,
      granted,
    };
    if (core.rules.mustPersistVote()) {
      core.sendWhenDurable(response);
    } else {
      core.send(response);
    }
  }

  private canVoteFor(message: VoteRequest): boolean {
    const { votedFor, leader } = this.core;
    const isVoteAvailable = votedFor === undefined || votedFor === message.from;
    const hasOtherLeader = leader !== undefined && leader !== message.from;
    return (
      isVoteAvailable && !hasOtherLeader && this.isUpToDate(message.lastTerm, message.lastIndex)
    );
  }

  private vote(candidate: MemberId): void {
    const { core } = this;
    if (core.votedFor === undefined) {
      core.setHardState({ term: core.term, votedFor: candidate });
    }
    core.resetElectionDeadline();
  }

  /**
   * Whether this member's own campaign permits the pre-vote. Of two members that campaign with
   * equal logs, only one grants it to the other, which prevents split votes.
   */
  private yieldsTo(message: PreVoteRequest): boolean {
    const { core } = this;
    const { lastIndex, lastTerm } = core.log;
    const isEqual = message.lastIndex === lastIndex && message.lastTerm === lastTerm;
    return core.role !== Role.PreCandidate || !isEqual || message.from > core.identity;
  }

  /**
   * Repeats no requests while the disk is stalled: the held ones are sent once the vote is durable.
   */
  private repeatRequests(): void {
    if (!this.core.isDiskStalled) {
      this.requestVotes();
    }
  }

  /**
   * Handles an election timeout. A member whose disk is stalled does not campaign: it would raise the
   * term of the others without ever being elected.
   */
  private handleElectionTimeout(): void {
    const { core } = this;
    if (core.isDiskStalled && core.role === Role.Candidate) {
      core.resetElectionDeadline();
    } else if (!core.isVoter || core.isDiskStalled) {
      core.becomeFollower(core.term, undefined);
    } else if (core.rules.usesPreVote()) {
      this.startPreVote();
    } else {
      this.startElection(false);
    }
  }

  private startPreVote(): void {
    this.startCampaign(Role.PreCandidate);
    if (this.countGrant(this.core.identity)) {
      this.startElection(false);
    } else {
      this.requestVotes();
    }
  }

  private requestVotes(): void {
    const { core } = this;
    this.nextRequestMs = core.nowMs + core.settings.heartbeatMs;
    const { voters } = core.log.membership;
    for (const to of voters.filter((voter) => voter !== core.identity && !this.grants.has(voter))) {
      const candidacy = this.createCandidacy(to);
      if (core.role === Role.PreCandidate) {
        core.send({ ...candidacy, kind: MessageKind.PreVoteRequest });
      } else {
        const { isTransfer } = this;
        core.sendWhenDurable({ ...candidacy, kind: MessageKind.VoteRequest, isTransfer });
      }
    }
  }

  private startCampaign(role: Role.PreCandidate | Role.Candidate): void {
    const { core } = this;
    assertInvariant(core.isVoter, 'only voters campaign');
    core.role = role;
    core.leader = undefined;
    core.resetElectionDeadline();
    this.campaign++;
    this.grants.clear();
  }

  private createCandidacy(to: MemberId): Omit<PreVoteRequest, 'kind'> {
    const { core, campaign } = this;
    const { lastIndex, lastTerm } = core.log;
    return { from: core.identity, to, term: core.term, campaign, lastIndex, lastTerm };
  }

  private countGrant(member: MemberId): boolean {
    const { membership } = this.core.log;
    if (isVoter(membership, member)) {
      this.grants.add(member);
    }
    return hasQuorum(membership, this.grants);
  }

  private isUpToDate(lastTerm: number, lastIndex: number): boolean {
    const { log } = this.core;
    return lastTerm > log.lastTerm || (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
  }
}
