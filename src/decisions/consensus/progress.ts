import type { AppendResponse } from './message.js';

/** How a leader sends entries to one peer. */
export enum ReplicationMode {
  /** One request at a time, until the peer's log is known to match. */
  Probe = 'probe',
  /** Requests follow each other without waiting. */
  Replicate = 'replicate',
  /** A snapshot is on its way; heartbeats carry no entries. */
  Snapshot = 'snapshot',
}

/** What a leader knows of one peer. */
export class Progress {
  mode = ReplicationMode.Probe;
  matchIndex = 0;
  nextIndex: number;
  /** Highest heartbeat round that the peer acknowledged. */
  acknowledgedRound = 0;
  /** The leader's time from which the peer is loyal to it. */
  leaseStartMs = Number.NEGATIVE_INFINITY;
  /** When the last answer arrived. */
  lastResponseMs: number;
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

  /** Notes a request with entries up to `lastIndex`. */
  noteSent(lastIndex: number): void {
    if (this.mode === ReplicationMode.Probe) {
      this.isProbeInFlight = true;
    } else {
      this.inflight.push(lastIndex);
      this.nextIndex = lastIndex + 1;
    }
  }

  /** Allows a probe to be repeated with the next heartbeat. */
  allowProbe(): void {
    this.isProbeInFlight = false;
  }

  /** Whether the snapshot is to be sent, for the first time or again. */
  isSnapshotDue(nowMs: number, retryMs: number): boolean {
    return nowMs - this.snapshotSentMs >= retryMs;
  }

  /** Notes a sent snapshot. */
  noteSnapshotSent(nowMs: number, index: number): void {
    this.snapshotIndex = index;
    this.mode = ReplicationMode.Snapshot;
    this.snapshotSentMs = nowMs;
    this.inflight = [];
  }

  /** Takes in an accepted response. */
  accept(response: AppendResponse): void {
    this.matchIndex = Math.max(this.matchIndex, response.matchIndex);
    this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
    this.inflight = this.inflight.filter((lastIndex) => lastIndex > this.matchIndex);
    this.isProbeInFlight = false;
    if (this.mode !== ReplicationMode.Snapshot || this.matchIndex >= this.snapshotIndex) {
      this.mode = ReplicationMode.Replicate;
    }
  }

  /** Takes in a refused response; returns whether it is still of interest. */
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
