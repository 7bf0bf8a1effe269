import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';

const HEADER_BYTES = 5;
const LENGTH_OFFSET = 1;

/** Splits a caller's byte stream into messages and refuses a message that exceeds the limit. */
export class FrontendFrames {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private neededBytes = HEADER_BYTES;

  constructor(private readonly maximumBytes: number) {}

  /** Adds bytes and returns the messages that are now complete. */
  tryPush(chunk: Buffer): Result<readonly Buffer[], Fault> {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.neededBytes) {
      return ok([]);
    }
    const bytes = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks, this.bufferedBytes);
    return this.tryExtract(bytes);
  }

  private tryExtract(bytes: Buffer): Result<readonly Buffer[], Fault> {
    const frames: Buffer[] = [];
    let offset = 0;
    this.neededBytes = HEADER_BYTES;
    while (bytes.length - offset >= HEADER_BYTES) {
      const size = bytes.readUInt32BE(offset + LENGTH_OFFSET) + LENGTH_OFFSET;
      if (size < HEADER_BYTES || size > this.maximumBytes) {
        const values = { size, limit: this.maximumBytes };
        return err(createFault(Diagnostics.MessageTooLarge, values, { step: 'caller.read' }));
      }
      if (bytes.length - offset < size) {
        this.neededBytes = size;
        break;
      }
      frames.push(bytes.subarray(offset, offset + size));
      offset += size;
    }
    const rest = bytes.subarray(offset);
    this.chunks = rest.length > 0 ? [rest] : [];
    this.bufferedBytes = rest.length;
    return ok(frames);
  }
}
