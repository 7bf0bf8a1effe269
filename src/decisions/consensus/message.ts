import type { LogEntry } from './logEntry.js';
import type { MemberId } from './memberId.js';
import type { Snapshot } from './snapshot.js';

/** The kinds of messages between members. */
export enum MessageKind {
  PreVoteRequest = 'pre-vote-request',
  PreVoteResponse = 'pre-vote-response',
  VoteRequest = 'vote-request',
  VoteResponse = 'vote-response',
  AppendRequest = 'append-request',
  AppendResponse = 'append-response',
  SnapshotRequest = 'snapshot-request',
  TransferRequest = 'transfer-request',
}

interface MessageBase {
  readonly from: MemberId;
  readonly to: MemberId;
  /** The sender's current term. */
  readonly term: number;
}

interface Candidacy extends MessageBase {
  /** Number of the sender's campaign, so that responses to earlier campaigns are recognised. */
  readonly campaign: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

interface Ballot extends MessageBase {
  readonly campaign: number;
  readonly granted: boolean;
}

/** Queries whether a vote in the next term would be granted; changes no state. */
export interface PreVoteRequest extends Candidacy {
  readonly kind: MessageKind.PreVoteRequest;
}

/** Answers a pre-vote request. */
export interface PreVoteResponse extends Ballot {
  readonly kind: MessageKind.PreVoteResponse;
}

/** Requests a vote in the sender's term. */
export interface VoteRequest extends Candidacy {
  readonly kind: MessageKind.VoteRequest;
  /**
   * Whether the leader requested this election; recent contact with the leader then does not prevent
   * a vote.
   */
  readonly isTransfer: boolean;
}

/** Answers a vote request. */
export interface VoteResponse extends Ballot {
  readonly kind: MessageKind.VoteResponse;
}

interface LeaderContact extends MessageBase {
  /** Number of the leader's heartbeat round, returned in the answer. */
  readonly round: number;
  /** The leader's clock at sending in milliseconds, returned in the answer. */
  readonly sentMs: number;
}

/** Heartbeat and entries from the leader. */
export interface AppendRequest<Command> extends LeaderContact {
  readonly kind: MessageKind.AppendRequest;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry<Command>[];
  readonly commitIndex: number;
}

/** Answers append and snapshot requests. */
export interface AppendResponse extends LeaderContact {
  readonly kind: MessageKind.AppendResponse;
  /** Term of the request; an answer to a request of an earlier term confirms nothing. */
  readonly requestTerm: number;
  readonly accepted: boolean;
  /** When accepted: the index up to which the follower durably holds the leader's log. */
  readonly matchIndex: number;
  /** When refused: the previous index that did not match, and the next index to try. */
  readonly refusedIndex: number;
  readonly nextIndex: number;
}

/** A complete snapshot for a peer that needs entries which the leader has already compacted. */
export interface SnapshotRequest extends LeaderContact {
  readonly kind: MessageKind.SnapshotRequest;
  readonly snapshot: Snapshot;
}

/** The leader asks the receiver to start an election at once. */
export interface TransferRequest extends MessageBase {
  readonly kind: MessageKind.TransferRequest;
}

/** A message between two members. */
export type ConsensusMessage<Command> =
  | PreVoteRequest
  | PreVoteResponse
  | VoteRequest
  | VoteResponse
  | AppendRequest<Command>
  | AppendResponse
  | SnapshotRequest
  | TransferRequest;
