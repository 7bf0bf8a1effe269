/** Time after the first renewal sent to a host until the next one may be sent, in milliseconds. */
const INITIAL_BACKOFF_MS = 100;
/** Maximum backoff: short enough that a new leader among a few hosts is found soon. */
const MAXIMUM_BACKOFF_MS = 400;

interface Attempt {
  waitMs: number;
  notBeforeMs: number;
  /** Whether the last renewal sent has neither been answered nor lost with its link. */
  isPending: boolean;
}

/**
 * Backoff of the renewals that a daemon without a lease sends to each control host. A host that is
 * slow to answer is tried at increasing intervals, since renewals at a fixed rate would add to its
 * load the longer it takes.
 */
export class RenewalBackoff {
  private readonly hosts = new Map<string, Attempt>();

  /** Whether a renewal may be sent to a host now. */
  canAttempt(address: string, nowMs: number): boolean {
    return nowMs >= (this.hosts.get(address)?.notBeforeMs ?? nowMs);
  }

  /** Records that a renewal is sent to a host. */
  recordAttempt(address: string, nowMs: number): void {
    const before = this.hosts.get(address)?.waitMs;
    const waitMs =
      before === undefined ? INITIAL_BACKOFF_MS : Math.min(MAXIMUM_BACKOFF_MS, 2 * before);
    this.hosts.set(address, { waitMs, notBeforeMs: nowMs + waitMs, isPending: true });
  }

  /** Records that a host answered without a grant, or that the link to it was lost. */
  recordAttemptEnd(address: string): void {
    const attempt = this.hosts.get(address);
    if (attempt !== undefined) {
      attempt.isPending = false;
    }
  }

  /**
   * Records that a host was named as leader: it may be tried immediately unless an attempt is
   * pending.
   */
  recordNamedLeader(address: string): void {
    if (this.hosts.get(address)?.isPending === false) {
      this.hosts.delete(address);
    }
  }

  /** Discards all attempts, for example after an answer of the leader. */
  reset(): void {
    this.hosts.clear();
  }
}
