import type { LeaseRenewal } from '../control/leaseRenewal.js';

const MAXIMUM_ANSWERS = 32;

/**
 * Times at which the leader answered the renewals of one lease: lower bounds of the times at which
 * later renewals were sent.
 */
export class AnswerTimes {
  private readonly atMs = new Map<number, number>();

  /** Records that a renewal is being answered. */
  note(sequence: number, nowMs: number): void {
    this.atMs.set(sequence, nowMs);
    const [oldest] = this.atMs.keys();
    if (this.atMs.size > MAXIMUM_ANSWERS && oldest !== undefined) {
      this.atMs.delete(oldest);
    }
  }

  /** The earliest time at which a renewal can have been sent; undefined when unknown. */
  getEarliestSentMs(renewal: LeaseRenewal, driftBound: number): number | undefined {
    const answeredMs = this.atMs.get(renewal.answered);
    return answeredMs === undefined
      ? undefined
      : answeredMs + renewal.sinceAnsweredMs / (1 + driftBound);
  }
}
