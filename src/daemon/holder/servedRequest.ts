import type { RequestId } from '../../common/ids/index.js';
import { MeshKind, type MeshLink } from '../mesh/index.js';
import type { PeerBytes } from './peerBytes.js';
import { ResponseReceiver, type RequestOutcome, type RunningRequest } from '../requests/index.js';

const FLUSH_BYTES = 32_768;

interface Chunk {
  readonly offset: number;
  readonly bytes: Uint8Array;
}

/** A request run for another daemon; keeps the answer until the receiver has consumed it. */
export class ServedRequest extends ResponseReceiver {
  running: RunningRequest | undefined;
  /** Time at which the answer was complete. */
  endedMs: number | undefined;
  private chunks: Chunk[] = [];
  private pending: Uint8Array[] = [];
  private pendingBytes = 0;
  private sentOffset = 0;
  private chargedBytes = 0;
  private outcome: RequestOutcome | undefined;
  private flushScheduled = false;

  constructor(
    private readonly id: RequestId,
    private link: MeshLink,
    private readonly getNowMs: () => number,
    private readonly held: PeerBytes,
  ) {
    super();
  }

  /** Continues the answer over another link, after the bytes that were already received. */
  attach(link: MeshLink, received: number): void {
    this.link = link;
    this.consume(received);
    for (const chunk of this.chunks) {
      this.sendChunk(chunk);
    }
    if (this.outcome !== undefined) {
      this.sendEnd(this.outcome, new Uint8Array(0));
    }
  }

  /** Discards the part of the answer that the receiver has consumed. */
  consume(consumed: number): void {
    this.chunks = this.chunks.filter(({ offset, bytes }) => {
      const isKept = offset + bytes.length > consumed;
      this.held.remove(isKept ? 0 : bytes.length);
      return isKept;
    });
    this.running?.consume(consumed);
  }

  override accept(bytes: Uint8Array): void {
    this.pending.push(bytes);
    this.pendingBytes += bytes.length;
    if (this.pendingBytes >= FLUSH_BYTES) {
      this.flush();
    } else if (!this.flushScheduled) {
      this.flushScheduled = true;
      queueMicrotask(() => this.flush());
    }
  }

  override finish(outcome: RequestOutcome): void {
    this.endedMs = this.getNowMs();
    this.running = undefined;
    this.held.remove(this.chargedBytes);
    this.chargedBytes = 0;
    // A load report is not sent again with the answer, since it would be out of date by then.
    this.outcome = { ...outcome, load: undefined };
    const last = this.takePending();
    if (last !== undefined) {
      this.keep(last);
    }
    this.sendEnd(outcome, last?.bytes ?? new Uint8Array(0), last?.offset);
  }

  /** Charges the memory of the request until its answer is complete. */
  charge(bytes: number): void {
    this.chargedBytes = bytes;
    this.held.add(bytes);
  }

  /** Drops the answer, which is not sent again. */
  discard(): void {
    this.chunks.forEach(({ bytes }) => this.held.remove(bytes.length));
    this.chunks = [];
  }

  private keep(chunk: Chunk): void {
    this.chunks.push(chunk);
    this.held.add(chunk.bytes.length);
  }

  private flush(): void {
    this.flushScheduled = false;
    const chunk = this.takePending();
    if (chunk !== undefined) {
      this.keep(chunk);
      this.sendChunk(chunk);
    }
  }

  private takePending(): Chunk | undefined {
    if (this.pendingBytes === 0) {
      return undefined;
    }
    const chunk = { offset: this.sentOffset, bytes: Buffer.concat(this.pending) };
    this.sentOffset += this.pendingBytes;
    this.pending = [];
    this.pendingBytes = 0;
    return chunk;
  }

  private sendChunk({ offset, bytes }: Chunk): void {
    this.link.send({ kind: MeshKind.ResponseBytes, id: this.id, offset, bytes });
  }

  private sendEnd(outcome: RequestOutcome, bytes: Uint8Array, offset = this.sentOffset): void {
    this.link.send({ kind: MeshKind.ResponseEnd, id: this.id, offset, bytes, outcome });
  }
}
