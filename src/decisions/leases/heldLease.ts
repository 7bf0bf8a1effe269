import type { LeaseId, Revision } from '../../common/ids/index.js';
import type { LeaseGrant } from '../control/leaseGrant.js';
import type { RenewalStart } from './renewalStart.js';

const MAXIMUM_UNANSWERED = 64;

/** The effect of an answer to a renewal on a held lease. */
export enum GrantEffect {
  /** The lease was extended. */
  Extended = 'extended',
  /** The answer was delayed, repeated or for another lease; nothing changed. */
  Ignored = 'ignored',
  /** Nothing was granted; the lease lasts as long as before. */
  Refused = 'refused',
  /** The lease has ended; the daemon needs one under a new id. */
  Ended = 'ended',
}

/** The holder's side of a daemon lease; its time counts from before each renewal is sent. */
export class HeldLease {
  private sequence = 0;
  private answered = 0;
  private answeredAtMs = 0;
  private expiryMs: number | undefined;
  private ended = false;
  private readonly sentAtMs = new Map<number, number>();

  constructor(readonly id: LeaseId) {}

  /** Records that a renewal is about to be sent, and returns the fields that it is to carry. */
  beginRenewal(nowMs: number): RenewalStart {
    this.sequence++;
    this.sentAtMs.set(this.sequence, nowMs);
    const [oldest] = this.sentAtMs.keys();
    if (this.sentAtMs.size > MAXIMUM_UNANSWERED && oldest !== undefined) {
      this.sentAtMs.delete(oldest);
    }
    const { sequence, answered, answeredAtMs } = this;
    return { sequence, answered, sinceAnsweredMs: nowMs - answeredAtMs };
  }

  /**
   * Processes an answer to a renewal. `applied`: revision of the daemon's records, after those of the
   * answer were applied. The lease is extended only if they contain every change committed before the
   * answer, so that no daemon with a lease lacks a change for longer than one length.
   */
  receiveGrant(grant: LeaseGrant, applied: Revision, nowMs: number): GrantEffect {
    if (grant.lease !== this.id || this.isOver(nowMs)) {
      return GrantEffect.Ignored;
    }
    this.noteAnswer(grant, nowMs);
    if (grant.retired) {
      this.ended = true;
      return GrantEffect.Ended;
    }
    const sentAtMs = this.sentAtMs.get(grant.sequence);
    if (sentAtMs === undefined) {
      return GrantEffect.Ignored;
    }
    this.sentAtMs.delete(grant.sequence);
    return grant.lengthMs > 0 && this.isCurrent(grant, applied)
      ? this.extend(sentAtMs, grant, nowMs)
      : GrantEffect.Refused;
  }

  /** Whether the daemon may act on what it holds under this lease. */
  isValid(nowMs: number): boolean {
    return !this.isOver(nowMs) && this.expiryMs !== undefined;
  }

  /**
   * Whether the lease expired, was retired or was ended; a lease that was never granted is not
   * over.
   */
  isOver(nowMs: number): boolean {
    if (this.expiryMs !== undefined && nowMs >= this.expiryMs) {
      this.ended = true;
    }
    return this.ended;
  }

  /** Remaining time of the lease, in milliseconds; 0 when it is not valid. */
  getRemainingMs(nowMs: number): number {
    return this.isValid(nowMs) ? (this.expiryMs ?? nowMs) - nowMs : 0;
  }

  /** Ends the lease, after everything held under it was released. */
  end(): void {
    this.ended = true;
  }

  /** Whether the daemon has applied every change committed before an answer. */
  protected isCurrent(grant: LeaseGrant, applied: Revision): boolean {
    return applied >= grant.revision;
  }

  /** The time from which a grant counts. */
  protected getStartMs(sentAtMs: number, receivedAtMs: number): number {
    return Math.min(sentAtMs, receivedAtMs);
  }

  private noteAnswer(grant: LeaseGrant, nowMs: number): void {
    if (grant.sequence > this.answered && grant.sequence <= this.sequence) {
      this.answered = grant.sequence;
      this.answeredAtMs = nowMs;
    }
  }

  private extend(sentAtMs: number, grant: LeaseGrant, nowMs: number): GrantEffect {
    const expiryMs = this.getStartMs(sentAtMs, nowMs) + grant.lengthMs;
    if (expiryMs <= nowMs || (this.expiryMs !== undefined && expiryMs <= this.expiryMs)) {
      return GrantEffect.Ignored;
    }
    this.expiryMs = expiryMs;
    return GrantEffect.Extended;
  }
}
