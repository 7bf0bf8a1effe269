import type { ConsensusSettings } from './consensusSettings.js';

/** When an acknowledged heartbeat was sent and its answer received, by the leader's clock. */
export interface HeartbeatTimes {
  readonly sentMs: number;
  readonly receivedMs: number;
}

/** The safety rules of a member, kept apart so that tests can show what each of them prevents. */
export class ConsensusRules {
  /** Whether votes wait until they are durable. */
  mustPersistVote(): boolean {
    return true;
  }

  /** Whether append acknowledgements wait until the entries are durable. */
  mustPersistEntries(): boolean {
    return true;
  }

  /** Whether an election starts with a pre-vote. */
  usesPreVote(): boolean {
    return true;
  }

  /** Whether a leader was heard so recently that no vote may be granted to another. */
  isLeaderRecent(leaderContactMs: number, nowMs: number, settings: ConsensusSettings): boolean {
    return nowMs - leaderContactMs < settings.minimumElectionTimeoutMs;
  }

  /** Whether the disk has not taken a change for so long that this member can't win an election. */
  isDiskStalled(waitMs: number, settings: ConsensusSettings): boolean {
    return waitMs >= settings.minimumElectionTimeoutMs;
  }

  /** Whether counting replicas may commit an entry of that term. */
  canCommitByCounting(entryTerm: number, currentTerm: number): boolean {
    return entryTerm === currentTerm;
  }

  /** Whether a read waits until a quorum has confirmed the leader. */
  mustConfirmRead(): boolean {
    return true;
  }

  /** From when on an acknowledged heartbeat counts for the leader's lease. */
  getLeaseStart(heartbeat: HeartbeatTimes): number {
    return heartbeat.sentMs;
  }

  /** Whether a message for another identity than the member's own is ignored. */
  mustMatchIdentity(): boolean {
    return true;
  }
}
