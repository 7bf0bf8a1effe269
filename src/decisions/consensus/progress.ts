import type { AppendResponse } from './message.js';

/** How a leader sends entries to one peer. */
export enum ReplicationMode {
  /** Requests are sent one at a time, until the peer's log is known to match. */
  Probe = 'probe',
  /** Requests are pipelined: each is sent without waiting for the response to the one before. */
  Replicate = 'replicate',
  /** A snapshot was sent and is not acknowledged yet; heartbeats carry no entries. */
  Snapshot = 'snapshot',
}

/** The replication state of one peer, as far as the leader knows it. */
export class Progress {
  mode = ReplicationMode.Probe;
  matchIndex = 0;
  nextIndex: number;
  /** Highest heartbeat round that the peer acknowledged. */
  acknowledgedRound = 0;
  /** Start, by the leader's clock, of the time in which the peer grants no vote to others. */
  leaseStartMs = Number.NEGATIVE_INFINITY;
  /** Time at which the last response arrived, or at which the peer was added. */
  lastResponseMs: number;
  hasResponded = false;
  private isProbeInFlight = false;
  private snapshotIndex = 0;
  private snapshotSentMs = Number.NEGATIVE_INFINITY;
  private inflight: number[] = [];

  constructor(nextIndex: number, nowMs: number) {
    this.nextIndex = nextIndex;
    this.lastResponseMs = nowMs;
  }

  /** Whether entries may be sent now. */
  canSend(maximumInflight: number): boolean {
    switch (this.mode) {
      case ReplicationMode.Probe:
        return !this.isProbeInFlight;
      case ReplicationMode.Replicate:
        return this.inflight.length < maximumInflight;
      case ReplicationMode.Snapshot:
        return false;
    }
  }

  /** Records that a request with entries up to `lastIndex` was sent. */
  noteSent(lastIndex: number): void {
    if (this.mode === ReplicationMode.Probe) {
      this.isProbeInFlight = true;
    } else {
      this.inflight.push(lastIndex);
      this.nextIndex = lastIndex + 1;
    }
  }

  /** Allows another probe, although the last one may be unanswered. */
  allowProbe(): void {
    this.isProbeInFlight = false;
  }

  /** Whether the snapshot is to be sent, for the first time or again. */
  isSnapshotDue(nowMs: number, retryMs: number): boolean {
    return nowMs - this.snapshotSentMs >= retryMs;
  }

  /** Records that a snapshot was sent. */
  noteSnapshotSent(nowMs: number, index: number): void {
    this.snapshotIndex = index;
    this.mode = ReplicationMode.Snapshot;
    this.snapshotSentMs = nowMs;
    this.inflight = [];
  }

  /** Processes a response that accepted a request. */
  accept(response: AppendResponse): void {
    this.matchIndex = Math.max(this.matchIndex, response.matchIndex);
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
    this.inflight = this.inflight.filter((lastIndex) => lastIndex > this.matchIndex);
    this.isProbeInFlight = false;
    if (this.mode !== ReplicationMode.Snapshot || this.matchIndex >= this.snapshotIndex) {
      this.mode = ReplicationMode.Replicate;
    }
  }

  /**
   * Processes a response that refused a request; returns false when it is ignored, because it is
   * stale or a snapshot is being sent.
   */
  refuse(response: AppendResponse): boolean {
    const isStale =
      response.refusedIndex <= this.matchIndex || response.refusedIndex >= this.nextIndex;
    if (isStale || this.mode === ReplicationMode.Snapshot) {
      return false;
    }
    const hintedIndex = Math.min(response.refusedIndex, response.nextIndex);
    this.nextIndex = Math.max(this.matchIndex + 1, hintedIndex);
    this.mode = ReplicationMode.Probe;
    this.isProbeInFlight = false;
    this.inflight = [];
    return true;
  }
}
