/** Memory that an entry of a session's state takes besides its texts, in bytes. */
const ENTRY_BYTES = 128;

/** Limits on the state of sessions: session values and prepared statements, in bytes. */
export interface SessionStateLimits {
  readonly sessionBytes: number;
  /** For all sessions of a host together. */
  readonly hostBytes: number;
}

/** Limits of sessions on small hosts; a single message has up to a mebibyte. */
export const DEFAULT_SESSION_STATE_LIMITS: SessionStateLimits = {
  sessionBytes: 2_097_152,
  hostBytes: 33_554_432,
};

/** Bytes that the state of all sessions of a host takes. */
export class SessionStateBudget {
  usedBytes = 0;

  constructor(readonly limits: SessionStateLimits = DEFAULT_SESSION_STATE_LIMITS) {}
}

/** Bytes that the state of one session takes, by entry. */
export class SessionState {
  private readonly sizes = new Map<string, number>();
  private usedBytes = 0;

  constructor(private readonly budget: SessionStateBudget) {}

  /** Sets the size of an entry, in bytes; returns false and changes nothing if a limit is exceeded. */
  trySet(entry: string, bytes: number): boolean {
    const { sessionBytes, hostBytes } = this.budget.limits;
    const addedBytes = ENTRY_BYTES + bytes - (this.sizes.get(entry) ?? 0);
    const exceeds =
      this.usedBytes + addedBytes > sessionBytes || this.budget.usedBytes + addedBytes > hostBytes;
    if (addedBytes > 0 && exceeds) {
      return false;
    }
    this.sizes.set(entry, ENTRY_BYTES + bytes);
    this.change(addedBytes);
    return true;
  }

  /** Removes an entry; does nothing if there is none. */
  remove(entry: string): void {
    this.change(-(this.sizes.get(entry) ?? 0));
    this.sizes.delete(entry);
  }

  /** Removes all entries, when the session has ended. */
  clear(): void {
    this.change(-this.usedBytes);
    this.sizes.clear();
  }

  private change(bytes: number): void {
    this.usedBytes += bytes;
    this.budget.usedBytes += bytes;
  }
}
