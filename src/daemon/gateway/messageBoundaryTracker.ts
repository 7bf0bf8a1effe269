const HEADER_BYTES = 5;

/** Tracks message boundaries in the byte stream that is written to a caller. */
export class MessageBoundaryTracker {
  private readonly header = Buffer.alloc(HEADER_BYTES);
  private headerBytes = 0;
  /** Bytes still missing of the current message, once its header is complete. */
  private remainingBytes = 0;

  /** Whether the next byte starts a new message. */
  get isAtBoundary(): boolean {
    return this.headerBytes === 0 && this.remainingBytes === 0;
  }

  /** Processes the next bytes of the stream. */
  push(bytes: Uint8Array): void {
    let offset = 0;
    while (offset < bytes.length) {
      if (this.remainingBytes > 0) {
        const skippedBytes = Math.min(this.remainingBytes, bytes.length - offset);
        this.remainingBytes -= skippedBytes;
        offset += skippedBytes;
      } else {
        offset = this.readHeader(bytes, offset);
      }
    }
  }

  private readHeader(bytes: Uint8Array, start: number): number {
    const end = Math.min(bytes.length, start + HEADER_BYTES - this.headerBytes);
    this.header.set(bytes.subarray(start, end), this.headerBytes);
    this.headerBytes += end - start;
    if (this.headerBytes === HEADER_BYTES) {
      this.headerBytes = 0;
      this.remainingBytes = Math.max(0, this.header.readUInt32BE(1) + 1 - HEADER_BYTES);
    }
    return end;
  }
}
