import type { ByteBudgetOptions } from './byteBudgetOptions.js';
import { CloseReason } from './closeReason.js';
import { HeldBytes, Holding } from './heldBytes.js';

/** Share of the budget up to which large messages may reserve; the rest is for small ones. */
const RESERVABLE_SHARE = 0.6;
/** Share of the budget down to which the largest holders are closed once it is exceeded. */
const RELIEF_SHARE = 0.9;
/** Time without progress after which a large message is closed while others wait for its bytes. */
const YIELD_MS = 1000;
/** Longest wait of a large message for its bytes; callers' deadlines end before. */
const RESERVATION_WAIT_MS = 10_000;
/** Bytes by which a message has to grow to count as advanced. */
const ADVANCE_BYTES = 1024;

/** A connection that has to be closed, and why. */
export interface ClosedHolder {
  readonly held: HeldBytes;
  readonly reason: CloseReason;
}

/**
 * Bytes that a process holds for its clients. Addresses crowds that send large or unfinished
 * messages, or don't take their answers: a large message needs a reservation before it is read, and
 * beyond the budget the largest holders without progress are closed.
 */
export class ByteBudget {
  private readonly connections = new Set<HeldBytes>();
  /** Connections whose large message waits for a reservation, the oldest first. */
  private readonly waiting = new Map<HeldBytes, { bytes: number; sinceMs: number }>();
  private held = 0;
  private reserved = 0;

  constructor(private readonly options: ByteBudgetOptions) {}

  /** Bytes that are charged to all connections together. */
  get heldBytes(): number {
    return this.held;
  }

  /** Whether a large message waits for a reservation. */
  get hasWaiting(): boolean {
    return this.waiting.size > 0;
  }

  has(held: HeldBytes): boolean {
    return this.connections.has(held);
  }

  get isExceeded(): boolean {
    return this.held > this.options.totalBytes;
  }

  open(nowMs: number): HeldBytes {
    const opened = new HeldBytes(nowMs);
    this.connections.add(opened);
    return opened;
  }

  close(held: HeldBytes): void {
    if (this.connections.delete(held)) {
      this.waiting.delete(held);
      this.reserved -= held.reserved;
      this.held -= held.total;
    }
  }

  /** Records what a connection holds now. */
  charge(held: HeldBytes, holding: Holding, bytes: number, nowMs: number): void {
    if (!this.connections.has(held)) {
      return;
    }
    const before = held.total;
    const previous = held.get(holding);
    // A single message within the limits is charged at most what a reservation may take.
    held.set(holding, Math.min(bytes, this.options.totalBytes * RESERVABLE_SHARE));
    this.held += held.total - before;
    if (holding === Holding.Received) {
      recordMessage(held, previous, bytes, nowMs);
    } else if (holding === Holding.Unsent) {
      recordAnswer(held, previous, bytes, nowMs);
    }
  }

  /** Whether the large message of a connection waits for a reservation. */
  isWaiting(held: HeldBytes): boolean {
    return this.waiting.has(held);
  }

  /** Whether more may be read from a connection. */
  mayRead(held: HeldBytes): boolean {
    const outstanding = held.get(Holding.Waiting) + held.get(Holding.Unsent);
    return !this.waiting.has(held) && outstanding < this.options.connectionBytes;
  }

  /**
   * Reserves the memory for a message of a size, or has the connection wait for it. A message that
   * no other one waits or holds for is always granted.
   */
  reserve(held: HeldBytes, bytes: number, nowMs: number): void {
    if (held.reserved === 0 && !this.waiting.has(held) && this.connections.has(held)) {
      this.waiting.set(held, { bytes, sinceMs: nowMs });
      if (this.waiting.size === 1) {
        this.grantReservations(nowMs);
      }
    }
  }

  /** Ends the reservation of a connection whose message is complete. */
  release(held: HeldBytes): void {
    this.waiting.delete(held);
    this.setReserved(held, 0);
  }

  /** Grants waiting reservations in order; returns the connections that may be read again. */
  grantReservations(nowMs: number): readonly HeldBytes[] {
    const granted: HeldBytes[] = [];
    for (const [held, { bytes }] of this.waiting) {
      const limit = this.options.totalBytes * RESERVABLE_SHARE;
      if (this.reserved > 0 && Math.max(this.reserved, this.held) + bytes > limit) {
        break;
      }
      this.waiting.delete(held);
      this.setReserved(held, Math.min(bytes, limit));
      held.progressMs = nowMs;
      held.messageMs = nowMs;
      granted.push(held);
    }
    return granted;
  }

  /** The connections that have to be closed so that the budget is kept, the largest first. */
  findExcess(nowMs: number): readonly ClosedHolder[] {
    if (!this.isExceeded) {
      return [];
    }
    const isIdle = (held: HeldBytes): boolean => nowMs - held.progressMs >= YIELD_MS;
    const holders = [...this.connections]
      .filter(({ total }) => total > 0)
      .sort((a, b) => Number(isIdle(b)) - Number(isIdle(a)) || b.total - a.total);
    const found: ClosedHolder[] = [];
    let left = this.held;
    for (const held of holders) {
      if (left <= this.options.totalBytes * RELIEF_SHARE) {
        break;
      }
      left -= held.total;
      found.push({ held, reason: CloseReason.OverBudget });
    }
    return found;
  }

  /** Leaves a time out of account in which this process was suspended. */
  postpone(durationMs: number): void {
    this.connections.forEach((held) => held.postpone(durationMs));
    this.waiting.forEach((waiting) => {
      waiting.sinceMs += durationMs;
    });
  }

  /** The connections that exceeded a limit in time. */
  findOverdue(nowMs: number): readonly ClosedHolder[] {
    const found: ClosedHolder[] = [];
    for (const held of this.connections) {
      const reason = this.findOverdueReason(held, nowMs);
      if (reason !== undefined) {
        found.push({ held, reason });
      }
    }
    return found;
  }

  /**
   * The oldest of some connections that has not identified itself, or else whose message is not
   * complete; undefined if there is none.
   */
  findReplaceable(isCandidate: (held: HeldBytes) => boolean): HeldBytes | undefined {
    let found: HeldBytes | undefined;
    for (const held of this.connections) {
      if (!held.isIntroduced && isCandidate(held)) {
        return held;
      }
      if (found === undefined && held.messageMs !== undefined && isCandidate(held)) {
        found = held;
      }
    }
    return found;
  }

  private findOverdueReason(held: HeldBytes, nowMs: number): CloseReason | undefined {
    const { messageTimeoutMs, answerTimeoutMs, introductionTimeoutMs } = this.options;
    const { messageMs = nowMs, answerMs = nowMs } = held;
    if (!held.isIntroduced && nowMs - held.openedMs >= introductionTimeoutMs) {
      return CloseReason.NotIntroduced;
    }
    if (nowMs - answerMs >= answerTimeoutMs) {
      return CloseReason.AnswerUntaken;
    }
    const waitingMs = nowMs - (this.waiting.get(held)?.sinceMs ?? nowMs);
    if (waitingMs >= RESERVATION_WAIT_MS) {
      return CloseReason.OverBudget;
    }
    if (!this.mayRead(held)) {
      // The process itself holds the message up, and counts its time from the next reading.
      held.messageMs = held.messageMs === undefined ? undefined : nowMs;
      return undefined;
    }
    if (nowMs - messageMs >= messageTimeoutMs) {
      return CloseReason.MessageStalled;
    }
    const isYielding = held.reserved > 0 && this.waiting.size > 0;
    return isYielding && nowMs - messageMs >= YIELD_MS ? CloseReason.OverBudget : undefined;
  }

  private setReserved(held: HeldBytes, bytes: number): void {
    const before = held.total;
    this.reserved += bytes - held.reserved;
    held.reserved = bytes;
    this.held += held.total - before;
  }
}

function recordMessage(held: HeldBytes, previous: number, bytes: number, nowMs: number): void {
  if (bytes === 0 || bytes < previous) {
    held.progressMs = nowMs;
  }
  if (bytes === 0) {
    held.messageMs = undefined;
    held.advancedBytes = 0;
    return;
  }
  const hasAdvanced = bytes < held.advancedBytes || bytes - held.advancedBytes >= ADVANCE_BYTES;
  if (held.messageMs === undefined || hasAdvanced) {
    held.messageMs = nowMs;
    held.advancedBytes = bytes;
  }
}

function recordAnswer(held: HeldBytes, previous: number, bytes: number, nowMs: number): void {
  if (bytes < previous) {
    held.progressMs = nowMs;
  }
  if (bytes === 0) {
    held.answerMs = undefined;
  } else if (held.answerMs === undefined || bytes < previous) {
    held.answerMs = nowMs;
  }
}
