const HEADER_BYTES = 5;

/** Follows the borders of messages in the bytes of answers. */
export class AnswerFrames {
  private readonly header = Buffer.alloc(HEADER_BYTES);
  private headerBytes = 0;
  /** Bytes still to come of a message whose header is known. */
  private remaining = 0;

  /** Whether the next byte begins a message. */
  get isAtBorder(): boolean {
    return this.headerBytes === 0 && this.remaining === 0;
  }

  /** Takes the next bytes. */
  push(bytes: Uint8Array): void {
    let offset = 0;
    while (offset < bytes.length) {
      if (this.remaining > 0) {
        const skipped = Math.min(this.remaining, bytes.length - offset);
        this.remaining -= skipped;
        offset += skipped;
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
      this.remaining = Math.max(0, this.header.readUInt32BE(1) + 1 - HEADER_BYTES);
    }
    return end;
  }
}
