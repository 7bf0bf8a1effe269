import { crc32 } from 'node:zlib';

const CHECKSUM_OFFSET = 4;
const PAYLOAD_CHECKSUM_OFFSET = 8;
const HEADER_BYTES = 12;

/** Last byte of a record. It is not zero, so that a tail of zeros marks an incomplete write. */
const END_MARK = 0xa5;

/** State of the record at an offset of a file. */
export enum FrameState {
  Complete = 'whole',
  /** The last record is incomplete because a crash interrupted its write. */
  Torn = 'torn',
  Corrupt = 'corrupt',
}

/** Result of reading the record at an offset of a file. */
export type Frame =
  | { readonly state: FrameState.Complete; readonly payload: Uint8Array; readonly end: number }
  | { readonly state: FrameState.Torn }
  | { readonly state: FrameState.Corrupt; readonly reason: string };

/** Frames a payload: length and checksums before it, an end mark after it. */
export function createFrame(payload: Uint8Array): Uint8Array {
  const frame = Buffer.alloc(HEADER_BYTES + payload.byteLength + 1);
  frame.writeUInt32LE(payload.byteLength, 0);
  frame.writeUInt32LE(crc32(frame.subarray(0, CHECKSUM_OFFSET)), CHECKSUM_OFFSET);
  frame.writeUInt32LE(crc32(payload), PAYLOAD_CHECKSUM_OFFSET);
  frame.set(payload, HEADER_BYTES);
  frame[frame.byteLength - 1] = END_MARK;
  return frame;
}

/**
 * Reads the record at an offset. A record is written only after the previous one is durable, so
 * only the last one can be torn: it is cut off, or filled with zeros up to the end of the file.
 */
export function readFrame(file: Uint8Array, offset: number): Frame {
  const rest = Buffer.from(file.buffer, file.byteOffset + offset, file.byteLength - offset);
  if (rest.byteLength < HEADER_BYTES) {
    return { state: FrameState.Torn };
  }
  const isHeaderValid =
    crc32(rest.subarray(0, CHECKSUM_OFFSET)) === rest.readUInt32LE(CHECKSUM_OFFSET);
  if (!isHeaderValid) {
    return createDamagedFrame(
      rest,
      HEADER_BYTES - 1,
      'the checksum of the record length does not match',
    );
  }
  const markOffset = HEADER_BYTES + rest.readUInt32LE(0);
  if (rest.byteLength <= markOffset) {
    return { state: FrameState.Torn };
  }
  const payload = rest.subarray(HEADER_BYTES, markOffset);
  const isPayloadValid = crc32(payload) === rest.readUInt32LE(PAYLOAD_CHECKSUM_OFFSET);
  return isPayloadValid && rest[markOffset] === END_MARK
    ? { state: FrameState.Complete, payload, end: offset + markOffset + 1 }
    : createDamagedFrame(rest, markOffset, 'the checksum or end mark of the record does not match');
}

function createDamagedFrame(rest: Uint8Array, lastOffset: number, reason: string): Frame {
  const endsInZeros = rest.subarray(lastOffset).every((byte) => byte === 0);
  return endsInZeros ? { state: FrameState.Torn } : { state: FrameState.Corrupt, reason };
}
