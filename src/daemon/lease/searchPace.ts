/** Time after which a host that was asked for a lease may be asked again, in milliseconds. */
const FIRST_WAIT_MS = 100;
/** Longest such time: a few hosts asked in turn still notice soon that a leader is back. */
const LONGEST_WAIT_MS = 400;

interface Asked {
  waitMs: number;
  notBeforeMs: number;
  /** Nothing came back yet. */
  isOpen: boolean;
}

/**
 * How often a daemon without a lease asks each control host. A host that is slow to answer is asked
 * less and less: asking at a fixed rate gives it more to do the longer it takes.
 */
export class SearchPace {
  private readonly hosts = new Map<string, Asked>();

  /** Whether a host may be asked now. */
  mayAsk(address: string, nowMs: number): boolean {
    return nowMs >= (this.hosts.get(address)?.notBeforeMs ?? nowMs);
  }

  /** Notes that a host is asked. */
  asked(address: string, nowMs: number): void {
    const before = this.hosts.get(address)?.waitMs;
    const waitMs = before === undefined ? FIRST_WAIT_MS : Math.min(LONGEST_WAIT_MS, 2 * before);
    this.hosts.set(address, { waitMs, notBeforeMs: nowMs + waitMs, isOpen: true });
  }

  /** Notes that a host answered without granting, or that the link to it was lost. */
  closed(address: string): void {
    const asked = this.hosts.get(address);
    if (asked !== undefined) {
      asked.isOpen = false;
    }
  }

  /** Notes that a host is said to lead: it is asked at once, unless an answer is still to come. */
  named(address: string): void {
    if (this.hosts.get(address)?.isOpen === false) {
      this.hosts.delete(address);
    }
  }

  /** Forgets all that was asked, as when an answer of the leader came. */
  clear(): void {
    this.hosts.clear();
  }
}
