/** Time after which a host that was asked for a lease may be asked again, in milliseconds. */
const INITIAL_BACKOFF_MS = 100;
/** Longest such time: a few hosts asked in turn still notice soon that a leader is back. */
const MAXIMUM_BACKOFF_MS = 400;

interface Attempt {
  waitMs: number;
  notBeforeMs: number;
  /** Nothing came back yet. */
  isPending: boolean;
}

/**
 * How often a daemon without a lease asks each control host. A host that is slow to answer is asked
 * less and less: asking at a fixed rate gives it more to do the longer it takes.
 */
export class RenewalBackoff {
  private readonly hosts = new Map<string, Attempt>();

  /** Whether a host may be asked now. */
  canAttempt(address: string, nowMs: number): boolean {
    return nowMs >= (this.hosts.get(address)?.notBeforeMs ?? nowMs);
  }

  /** Notes that a host is asked. */
  recordAttempt(address: string, nowMs: number): void {
    const before = this.hosts.get(address)?.waitMs;
    const waitMs =
      before === undefined ? INITIAL_BACKOFF_MS : Math.min(MAXIMUM_BACKOFF_MS, 2 * before);
    this.hosts.set(address, { waitMs, notBeforeMs: nowMs + waitMs, isPending: true });
  }

  /** Notes that a host answered without granting, or that the link to it was lost. */
  recordAttemptEnd(address: string): void {
    const attempt = this.hosts.get(address);
    if (attempt !== undefined) {
      attempt.isPending = false;
    }
  }

  /** Notes that a host is said to lead: it is asked at once, unless an answer is still to come. */
  recordNamedLeader(address: string): void {
    if (this.hosts.get(address)?.isPending === false) {
      this.hosts.delete(address);
    }
  }

  /** Forgets all that was asked, as when an answer of the leader came. */
  reset(): void {
    this.hosts.clear();
  }
}
