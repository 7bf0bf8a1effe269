/** Timing and bounds of a consensus member. */
export interface ConsensusSettings {
  /** Interval between two heartbeats of the leader. */
  readonly heartbeatMs: number;
  /**
   * Shortest election timeout; also how long a follower refuses votes to others after contact with
   * its leader.
   */
  readonly minimumElectionTimeoutMs: number;
  /** Longest election timeout; also the time after which a leader without a quorum steps down. */
  readonly maximumElectionTimeoutMs: number;
  /** Upper bound of the clock drift between two members, as a share of elapsed time. */
  readonly clockDriftBound: number;
  /** Maximum number of entries in one append request. */
  readonly maximumBatchEntries: number;
  /**
   * Maximum size of the commands in one append request, in bytes; a single larger command is
   * refused.
   */
  readonly maximumBatchBytes: number;
  /** Maximum size of a snapshot's state, which is sent in one message, in bytes. */
  readonly maximumSnapshotBytes: number;
  /** Maximum number of append requests with entries that one peer has not answered. */
  readonly maximumInflightRequests: number;
  /** Committed entries after which a snapshot is due. */
  readonly snapshotEntries: number;
  /** Entries before a snapshot's index that are kept in memory for peers that lag slightly. */
  readonly trailingEntries: number;
  /** Maximum number of entries that a learner may lack when it is promoted. */
  readonly promotionLagEntries: number;
  /** Time after which an unanswered snapshot is sent again. */
  readonly snapshotRetryMs: number;
}

/** The default settings, meant for a control quorum within one region. */
export const defaultConsensusSettings: ConsensusSettings = {
  heartbeatMs: 50,
  minimumElectionTimeoutMs: 200,
  maximumElectionTimeoutMs: 400,
  clockDriftBound: 0.05,
  maximumBatchEntries: 256,
  maximumBatchBytes: 1_048_576,
  maximumSnapshotBytes: 67_108_864,
  maximumInflightRequests: 8,
  snapshotEntries: 10_000,
  trailingEntries: 1_000,
  promotionLagEntries: 64,
  snapshotRetryMs: 2_000,
};
