const HEADER_BYTES = 5;

/** Follows the borders of messages in the bytes of answers. */
export class MessageBoundaryTracker {
  private readonly header = Buffer.alloc(HEADER_BYTES);
  private headerBytes = 0;
  /** Bytes still to come of a message whose header is known. */
  private remainingBytes = 0;

  /** Whether the next byte begins a message. */
  get isAtBoundary(): boolean {
    return this.headerBytes === 0 && this.remainingBytes === 0;
  }

  /** Takes the next bytes. */
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
