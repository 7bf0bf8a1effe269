/** Timing and bounds of a consensus member. */
export interface ConsensusSettings {
  /** Interval between two heartbeats of the leader. */
  readonly heartbeatMs: number;
  /** Shortest election timeout; also how long a follower stays loyal to a leader it heard. */
  readonly minimumElectionTimeoutMs: number;
  /** Longest election timeout; also how long a leader lasts without a quorum. */
  readonly maximumElectionTimeoutMs: number;
  /** Upper bound of the clock drift between two members, as a share of elapsed time. */
  readonly clockDriftBound: number;
  /** Most entries in one append request. */
  readonly maximumBatchEntries: number;
  /** Most bytes of commands in one append request; a single larger command is refused. */
  readonly maximumBatchBytes: number;
  /** Most bytes of a snapshot's state, which travels in one message. */
  readonly maximumSnapshotBytes: number;
  /** Most append requests with entries that one peer has not answered. */
  readonly maximumInflightRequests: number;
  /** Committed entries after which a snapshot is due. */
  readonly snapshotEntries: number;
  /** Entries kept in memory behind a snapshot, for peers that lag a little. */
  readonly trailingEntries: number;
  /** Most entries that a learner may lack when it is promoted. */
  readonly promotionLagEntries: number;
  /** Time after which an unanswered snapshot is sent again. */
  readonly snapshotRetryMs: number;
}

/** The settings of a control quorum within one region. */
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
