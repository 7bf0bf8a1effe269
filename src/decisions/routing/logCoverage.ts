import { toRevision, type LogPosition, type Revision } from '../../common/ids/index.js';

interface Verification {
  /** Records applied when the verification began. */
  readonly revision: Revision;
  readonly sinceMs: number;
  /** Position of the primary observed since then; whatever a gone instance received is below it. */
  target: LogPosition | undefined;
}

/**
 * Verifies that everything received by instances that have left or restarted is on another instance.
 * Such an instance received nothing after the primary's position that is observed later, so a
 * replica observed to have reached that position has all of it.
 */
export class LogCoverage {
  /** Revision up to which the logs of instances that left or restarted are covered. */
  revision: Revision = toRevision(0);
  private verification: Verification | undefined;

  /** Begins to verify the logs lost up to a revision, unless a verification of them is under way. */
  verify(lostRevision: Revision, appliedRevision: Revision, nowMs: number): void {
    const known = this.verification?.revision ?? this.revision;
    if (lostRevision > known) {
      this.verification = { revision: appliedRevision, sinceMs: nowMs, target: undefined };
    }
  }

  /** Records a position of the primary that was queried at `sentMs`. */
  recordPrimary(position: LogPosition, sentMs: number): void {
    const { verification } = this;
    if (verification !== undefined && sentMs >= verification.sinceMs) {
      verification.target ??= position;
    }
  }

  /** Records a position, on the primary's timeline, of a replica that is not leaving. */
  recordReplica(position: LogPosition, sentMs: number): void {
    const { verification } = this;
    const isCovered =
      verification?.target !== undefined &&
      sentMs >= verification.sinceMs &&
      position >= verification.target;
    if (isCovered) {
      this.revision = verification.revision;
      this.verification = undefined;
    }
  }

  /** Discards what was observed on an earlier timeline. */
  reset(): void {
    this.verification = undefined;
  }
}
