/** Memory of a request that runs for another daemon, besides its bytes. */
const REQUEST_BYTES = 2048;
/** Copies of a request's payload while it waits and runs: received frame and backend message. */
const COPIES = 3;

/** Bytes that a holder or reader holds for requests and answers of other daemons. */
export class PeerBytes {
  private held = 0;

  constructor(private readonly maximumBytes: number) {}

  /** Whether no further request can be taken. */
  get isExceeded(): boolean {
    return this.held > this.maximumBytes;
  }

  add(bytes: number): void {
    this.held += bytes;
  }

  remove(bytes: number): void {
    this.held -= bytes;
  }
}

/** The memory of a request that waits or runs. */
export function getRequestCost(payload: Uint8Array): number {
  return REQUEST_BYTES + payload.length * COPIES;
}
