import { FrameType } from './frameType.js';

const HEADER_BYTES = 5;
const MAXIMUM_EVALUATED_FRAME_BYTES = 1_048_576;

const EVALUATED_TYPES: ReadonlyMap<number, FrameType> = new Map(
  [
    FrameType.ParseComplete,
    FrameType.Notification,
    FrameType.CommandComplete,
    FrameType.Error,
    FrameType.CopyIn,
    FrameType.CopyOut,
    FrameType.EmptyQuery,
    FrameType.ParameterStatus,
    FrameType.CopyBoth,
    FrameType.ReadyForQuery,
  ].map((type) => [type, type]),
);

/** Receives the frames that a scanner finds. */
export interface FrameListener {
  /** Receives bytes of frames that are forwarded without parsing; not split at frame boundaries. */
  passThrough(bytes: Buffer): void;
  /** Receives one complete frame of a type that the daemon evaluates. */
  handleFrame(type: FrameType, bytes: Buffer): void;
  /** Called when the bytes are not valid frames. */
  handleInvalid(reason: string): void;
}

/** Finds the frames to evaluate in a backend server's byte stream, without copying the rows. */
export class FrameScanner {
  /** First bytes of an incomplete header or of an incomplete frame to evaluate. */
  private partial: Buffer | undefined;
  /** Number of bytes still to be received of a frame that is forwarded without parsing. */
  private remaining = 0;

  constructor(private readonly listener: FrameListener) {}

  /** Scans the next bytes. */
  push(chunk: Buffer): void {
    let bytes = chunk;
    if (this.partial !== undefined) {
      bytes = Buffer.concat([this.partial, chunk]);
      this.partial = undefined;
    }
    this.scan(bytes);
  }

  private scan(bytes: Buffer): void {
    let passStart = 0;
    let offset = Math.min(this.remaining, bytes.length);
    this.remaining -= offset;
    while (offset < bytes.length) {
      const length = offset + HEADER_BYTES <= bytes.length ? bytes.readUInt32BE(offset + 1) : 0;
      const evaluatedType = EVALUATED_TYPES.get(bytes.readUInt8(offset));
      const end = offset + 1 + length;
      if (length === 0 || (evaluatedType !== undefined && end > bytes.length)) {
        this.keepPartial(bytes, passStart, offset, length);
        return;
      }
      if (length < HEADER_BYTES - 1) {
        this.listener.handleInvalid('a frame is shorter than its header');
        return;
      }
      if (evaluatedType !== undefined) {
        this.forward(bytes, passStart, offset);
        this.listener.handleFrame(evaluatedType, bytes.subarray(offset, end));
        passStart = end;
      }
      this.remaining = Math.max(0, end - bytes.length);
      offset = Math.min(end, bytes.length);
    }
    this.forward(bytes, passStart, offset);
  }

  private keepPartial(bytes: Buffer, passStart: number, offset: number, length: number): void {
    this.forward(bytes, passStart, offset);
    if (length > MAXIMUM_EVALUATED_FRAME_BYTES) {
      this.listener.handleInvalid(`a control frame of ${length} bytes is too large`);
      return;
    }
    this.partial = Buffer.from(bytes.subarray(offset));
  }

  private forward(bytes: Buffer, start: number, end: number): void {
    if (end > start) {
      this.listener.passThrough(bytes.subarray(start, end));
    }
  }
}
