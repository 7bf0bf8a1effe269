import { Holding, type ByteBudget, type HeldBytes } from '../../decisions/callers/index.js';

/**
 * Largest part of a message that is read before memory for the whole message is reserved: less than
 * the 64 KiB of one chunk, so that a message that waits holds one chunk.
 */
const UNRESERVED_BYTES = 32_768;
/** Copies of a message that the process holds while it runs: text, payload, mesh frame and buffer. */
const COPIES = 4;
/** Memory of an object that waits, besides its bytes. */
const OBJECT_BYTES = 512;

/** The memory of messages that wait or run. */
export function getWaitingCost(count: number, bytes: number): number {
  return count * OBJECT_BYTES + bytes * COPIES;
}

/** Charges what one connection holds to the budget of the process. */
export class ConnectionCharge {
  constructor(
    private readonly budget: ByteBudget,
    readonly held: HeldBytes,
    private readonly getNowMs: () => number,
    private readonly onChanged: () => void,
  ) {}

  /** Whether more may be read from the client. */
  get mayRead(): boolean {
    return this.budget.mayRead(this.held);
  }

  /**
   * Whether a large message waits for a reservation. What was received of it is to be returned to the
   * paused socket, which otherwise reads and keeps another chunk.
   */
  get isWaiting(): boolean {
    return this.budget.isWaiting(this.held);
  }

  /** Records that the client identified itself. */
  recordIntroduced(): void {
    this.held.isIntroduced = true;
  }

  /**
   * Records the received bytes of a message that is not complete. Beyond a first part, memory for the
   * largest message is reserved.
   */
  setPartial(bytes: number, maximumBytes: number): void {
    if (bytes <= UNRESERVED_BYTES) {
      this.release();
    } else {
      this.reserve(maximumBytes);
    }
    this.setReceived(bytes);
  }

  /** Reserves memory for a large message; false if the connection has to wait for it. */
  reserve(maximumBytes: number): boolean {
    this.budget.reserve(this.held, maximumBytes * COPIES, this.getNowMs());
    this.onChanged();
    return this.mayRead;
  }

  /** Ends the reservation for a message that is complete. */
  release(): void {
    this.budget.release(this.held);
    this.onChanged();
  }

  /** Records the received bytes of a message that is not complete. */
  setReceived(bytes: number): void {
    this.charge(Holding.Received, bytes);
  }

  /** Records the messages that wait or run, and the bytes of those that were not read yet. */
  setWaiting(count: number, bytes: number, unreadBytes = 0): void {
    this.charge(Holding.Waiting, getWaitingCost(count, bytes) + unreadBytes);
  }

  /** Records the bytes of answers that the client has not taken. */
  setUnsent(bytes: number): void {
    this.charge(Holding.Unsent, bytes);
  }

  /** Ends the charge of a closed connection. */
  close(): void {
    this.budget.close(this.held);
    this.onChanged();
  }

  private charge(holding: Holding, bytes: number): void {
    if (this.held.get(holding) !== bytes) {
      this.budget.charge(this.held, holding, bytes, this.getNowMs());
      this.onChanged();
    }
  }
}
