import type { MemberCore } from './memberCore.js';
import type { MemberId } from './memberId.js';
import { getPeers, getQuorumValue } from './membership.js';
import { MessageKind, type AppendResponse } from './message.js';
import { Progress, ReplicationMode } from './progress.js';

/** The leader's side of log replication: one progress per peer, heartbeats and quorums. */
export class Replication<Command> {
  private readonly peers = new Map<MemberId, Progress>();
  private roundValue = 0;

  constructor(private readonly core: MemberCore<Command>) {
    this.updatePeers();
  }

  /** Number of the last heartbeat round. */
  get round(): number {
    return this.roundValue;
  }

  /** Starts tracking new members and drops removed ones. */
  updatePeers(): void {
    const { core } = this;
    const members = getPeers(core.log.membership, core.identity);
    for (const member of members) {
      if (!this.peers.has(member)) {
        this.peers.set(member, new Progress(core.log.lastIndex + 1, core.nowMs));
      }
    }
    for (const member of this.peers.keys()) {
      if (!members.includes(member)) {
        this.peers.delete(member);
      }
    }
  }

  /** The progress of a peer; undefined when it is not tracked. */
  getProgress(member: MemberId): Progress | undefined {
    return this.peers.get(member);
  }

  /** Starts a heartbeat round to all peers. */
  sendHeartbeats(): void {
    this.roundValue++;
    for (const [member, progress] of this.peers) {
      progress.allowProbe();
      if (!this.trySendEntries(member, progress)) {
        this.sendHeartbeat(member, progress);
      }
    }
  }

  /** Sends to each peer the entries that it may be sent now. */
  sendEntries(): void {
    for (const [member, progress] of this.peers) {
      let sent = true;
      while (sent) {
        sent = this.trySendEntries(member, progress);
      }
    }
  }

  /** Processes a peer's response. */
  receive(response: AppendResponse): void {
    const { core } = this;
    const progress = this.peers.get(response.from);
    if (progress === undefined) {
      return;
    }
    const leaseStartMs = core.rules.getLeaseStart({
      sentMs: response.sentMs,
      receivedMs: core.nowMs,
    });
    progress.leaseStartMs = Math.max(progress.leaseStartMs, leaseStartMs);
    progress.acknowledgedRound = Math.max(progress.acknowledgedRound, response.round);
    progress.lastResponseMs = core.nowMs;
    progress.hasResponded = true;
    if (response.accepted) {
      progress.accept(response);
    } else {
      progress.refuse(response);
    }
  }

  /** The highest index that a quorum of the voters holds durably. */
  getQuorumIndex(): number {
    return this.getQuorumValue(this.core.durability.lastIndex, (peer) => peer.matchIndex);
  }

  /** The last heartbeat round that a quorum of the voters acknowledged. */
  getQuorumRound(): number {
    return this.getQuorumValue(this.roundValue, (peer) => peer.acknowledgedRound);
  }

  /**
   * Start, by the leader's clock, of the time in which a quorum of the voters grants no vote to
   * others.
   */
  getQuorumLeaseStart(): number {
    return this.getQuorumValue(this.core.nowMs, (peer) => peer.leaseStartMs);
  }

  /** Time of the last contact with a quorum of the voters. */
  getQuorumContactMs(): number {
    return this.getQuorumValue(this.core.nowMs, (peer) => peer.lastResponseMs);
  }

  private getQuorumValue(own: number, getValue: (peer: Progress) => number): number {
    const { core } = this;
    const value = getQuorumValue(core.log.membership, (voter) => {
      const progress = this.peers.get(voter);
      const reached = progress === undefined ? Number.NEGATIVE_INFINITY : getValue(progress);
      return voter === core.identity ? own : reached;
    });
    return value ?? Number.NEGATIVE_INFINITY;
  }

  private trySendEntries(member: MemberId, progress: Progress): boolean {
    const { core } = this;
    const { settings, log } = core;
    const hasEntries = progress.nextIndex <= log.lastIndex;
    if (!hasEntries || !progress.canSend(settings.maximumInflightRequests)) {
      return false;
    }
    if (progress.nextIndex <= log.compactedIndex) {
      this.sendSnapshot(member, progress);
      return true;
    }
    const previousIndex = progress.nextIndex - 1;
    const { maximumBatchEntries, maximumBatchBytes } = settings;
    const entries = log.getBatch(previousIndex, maximumBatchEntries, maximumBatchBytes);
    progress.noteSent(previousIndex + entries.length);
    this.sendAppend(member, previousIndex, entries);
    return true;
  }

  private sendHeartbeat(member: MemberId, progress: Progress): void {
    const { core } = this;
    const needsSnapshot = progress.nextIndex <= core.log.compactedIndex;
    if (progress.mode !== ReplicationMode.Snapshot && needsSnapshot) {
      this.sendSnapshot(member, progress);
      return;
    }
    if (progress.mode !== ReplicationMode.Snapshot) {
      this.sendAppend(member, progress.nextIndex - 1, []);
      return;
    }
    this.sendAppend(member, 0, []);
    if (progress.isSnapshotDue(core.nowMs, core.settings.snapshotRetryMs)) {
      this.sendSnapshot(member, progress);
    }
  }

  private sendAppend(
    to: MemberId,
    previousIndex: number,
    entries: ReturnType<MemberCore<Command>['log']['getEntries']>,
  ): void {
    const { core } = this;
    core.send({
      kind: MessageKind.AppendRequest,
      from: core.identity,
      to,
      term: core.term,
      round: this.roundValue,
      sentMs: core.nowMs,
      previousIndex,
      previousTerm: previousIndex === 0 ? 0 : (core.log.getTerm(previousIndex) ?? 0),
      entries,
      commitIndex: core.commitIndex,
    });
  }

  private sendSnapshot(to: MemberId, progress: Progress): void {
    const { core } = this;
    const { snapshot } = core.log;
    if (snapshot === undefined) {
      return;
    }
    progress.noteSnapshotSent(core.nowMs, snapshot.index);
    core.send({
      kind: MessageKind.SnapshotRequest,
      from: core.identity,
      to,
      term: core.term,
      round: this.roundValue,
      sentMs: core.nowMs,
      snapshot,
    });
  }
}
