import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { GrowingBuffer } from '../../common/sockets/index.js';

const HEADER_BYTES = 5;
const LENGTH_OFFSET = 1;
/** Bytes of a message after which room is made for the size that its header names. */
const EXPECTED_AFTER_BYTES = 65_536;
const NOTHING = Buffer.alloc(0);

/**
 * Splits a caller's byte stream into messages and refuses a message that exceeds the limit. Messages
 * are taken one by one: those not taken yet cost their bytes and no objects.
 */
export class FrontendFrames {
  private readonly begun = new GrowingBuffer();
  private neededBytes = HEADER_BYTES;
  /** Received bytes of which messages may be taken, and where the next one begins. */
  private chunk: Buffer = NOTHING;
  private offset = 0;

  constructor(private readonly maximumBytes: number) {}

  /** Bytes of a message that is not complete. */
  get heldBytes(): number {
    return this.begun.length;
  }

  /** Size of that message, as far as its header was received. */
  get neededSize(): number {
    return this.neededBytes;
  }

  /** Bytes that are held for messages which were not taken. */
  get untakenBytes(): number {
    return this.chunk.length;
  }

  /** Adds received bytes. */
  push(bytes: Buffer): void {
    if (this.chunk.length > 0) {
      this.chunk = Buffer.concat([this.chunk.subarray(this.offset), bytes]);
      this.offset = 0;
    } else if (this.begun.length === 0) {
      this.chunk = bytes;
    } else {
      if (this.begun.length + bytes.length > EXPECTED_AFTER_BYTES) {
        this.begun.expect(this.neededBytes);
      }
      this.begun.append(bytes);
      if (this.begun.length >= this.neededBytes) {
        this.chunk = this.begun.take();
      }
    }
  }

  /** Removes and returns the start of a message that is not complete. */
  takeBegun(): Buffer {
    this.neededBytes = HEADER_BYTES;
    return this.begun.take();
  }

  /** Takes the next message; undefined if none is complete. */
  tryTake(): Result<Buffer | undefined, Fault> {
    const { chunk, offset } = this;
    const available = chunk.length - offset;
    if (available < HEADER_BYTES) {
      return this.keepRest(HEADER_BYTES);
    }
    const size = chunk.readUInt32BE(offset + LENGTH_OFFSET) + LENGTH_OFFSET;
    if (size < HEADER_BYTES || size > this.maximumBytes) {
      const values = { size, limit: this.maximumBytes };
      return err(createFault(Diagnostics.MessageTooLarge, values, { step: 'caller.read' }));
    }
    if (available < size) {
      return this.keepRest(size);
    }
    this.offset += size;
    if (this.offset === chunk.length) {
      this.clearChunk();
    }
    return ok(chunk.subarray(offset, offset + size));
  }

  /** Keeps the start of a message of a size until more of it is received. */
  private keepRest(size: number): Result<undefined, Fault> {
    if (this.offset < this.chunk.length) {
      this.neededBytes = size;
      this.begun.append(this.chunk.subarray(this.offset));
    } else if (this.begun.length === 0) {
      this.neededBytes = HEADER_BYTES;
    }
    this.clearChunk();
    return ok(undefined);
  }

  private clearChunk(): void {
    this.chunk = NOTHING;
    this.offset = 0;
  }
}
