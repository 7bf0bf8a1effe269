import type { RequestId } from '../../common/ids/index.js';

interface WaitingRead {
  readonly request: RequestId;
  /** The heartbeat round that a quorum must acknowledge; undefined before it is sent. */
  round: number | undefined;
  /** The index up to which the state machine must have applied the log. */
  readIndex: number | undefined;
}

/** A read that may be answered. */
export interface ConfirmedRead {
  readonly request: RequestId;
  readonly index: number;
}

/** The reads that wait for a quorum to confirm the leader. */
export class ReadBarriers {
  private waiting: WaitingRead[] = [];

  /** Adds a read. */
  add(request: RequestId): void {
    this.waiting.push({ request, round: undefined, readIndex: undefined });
  }

  /** Whether reads are waiting and none of them is bound to a round yet. */
  get needsRound(): boolean {
    return this.waiting.length > 0 && this.waiting.every((read) => read.round === undefined);
  }

  /** Binds the reads without a round to the heartbeat round that is sent now. */
  bindRound(round: number, commitIndex: number): void {
    for (const read of this.waiting) {
      if (read.round === undefined) {
        read.round = round;
        read.readIndex = commitIndex;
      }
    }
  }

  /** Removes and returns the reads whose round a quorum has acknowledged. */
  takeConfirmed(acknowledgedRound: number): readonly ConfirmedRead[] {
    const confirmed: ConfirmedRead[] = [];
    this.waiting = this.waiting.filter((read) => {
      if (read.round === undefined || read.round > acknowledgedRound) {
        return true;
      }
      confirmed.push({ request: read.request, index: read.readIndex ?? 0 });
      return false;
    });
    return confirmed;
  }

  /** Removes and returns all reads, so that they can be refused. */
  takeAll(): readonly RequestId[] {
    const requests = this.waiting.map((read) => read.request);
    this.waiting = [];
    return requests;
  }
}
