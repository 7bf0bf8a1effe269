import { createFault, Diagnostics } from '../../common/diagnostics/index.js';

const HEADER_BYTES = 5;

/** Reads the fields of a caller's message; throws a Fault if the message is too short. */
export class MessageReader {
  private offset = HEADER_BYTES;

  constructor(private readonly message: Buffer) {}

  /** The unread part of the message. */
  get rest(): Buffer {
    return this.message.subarray(this.offset);
  }

  readByte(): number {
    if (this.offset >= this.message.length) {
      throw createMalformedFault();
    }
    const value = this.message.readUInt8(this.offset);
    this.offset += 1;
    return value;
  }

  readCString(): string {
    const end = this.message.indexOf(0, this.offset);
    if (end < 0) {
      throw createMalformedFault();
    }
    const text = this.message.toString('utf8', this.offset, end);
    this.offset = end + 1;
    return text;
  }
}

function createMalformedFault(): Error {
  return createFault(Diagnostics.MessageMalformed, {}, { step: 'caller.read' });
}
