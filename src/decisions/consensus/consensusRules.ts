import type { ConsensusSettings } from './consensusSettings.js';

/**
 * Times at which an acknowledged heartbeat was sent and its response received, by the leader's
 * clock.
 */
export interface HeartbeatTimes {
  readonly sentMs: number;
  readonly receivedMs: number;
}

/**
 * The safety rules of a member, in a class of their own so that tests can show which failure each
 * of them prevents.
 */
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

  /** Whether the last contact with a leader is so recent that no vote may be granted to another. */
  isLeaderRecent(leaderContactMs: number, nowMs: number, settings: ConsensusSettings): boolean {
    return nowMs - leaderContactMs < settings.minimumElectionTimeoutMs;
  }

  /**
   * Whether a change has waited so long to become durable that this member can't win an election.
   */
  isDiskStalled(waitMs: number, settings: ConsensusSettings): boolean {
    return waitMs >= settings.minimumElectionTimeoutMs;
  }

  /** Whether an entry of that term may be committed by counting the members that hold it. */
  canCommitByCounting(entryTerm: number, currentTerm: number): boolean {
    return entryTerm === currentTerm;
  }

  /** Whether a read waits until a quorum has confirmed the leader. */
  mustConfirmRead(): boolean {
    return true;
  }

  /** The time from which an acknowledged heartbeat counts for the leader's lease. */
  getLeaseStart(heartbeat: HeartbeatTimes): number {
    return heartbeat.sentMs;
  }

  /** Whether a message for another identity than the member's own is ignored. */
  mustMatchIdentity(): boolean {
    return true;
  }
}
