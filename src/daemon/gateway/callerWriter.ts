import type { Socket } from 'node:net';
import { endSocket } from '../../common/sockets/index.js';
import type { TimerService } from '../../common/timer/index.js';
import type { ConnectionCharge } from '../clients/index.js';
import { MessageBoundaryTracker } from './messageBoundaryTracker.js';

const HIGH_WATER_BYTES = 262_144;
/** Parts up to this size are copied into one; as writes of their own they would cost far more. */
const SMALL_BYTES = 4096;

/** Writes to one caller; writes of the same turn of the event loop are combined. */
export class CallerWriter {
  private readonly boundaries = new MessageBoundaryTracker();
  private isReading = true;
  private isCorked = false;
  /** Small parts that were not given to the socket, and what to call when they are flushed. */
  private small: Uint8Array[] = [];
  private smallBytes = 0;
  private onSmallFlushed: (() => void)[] = [];

  constructor(
    private readonly socket: Socket,
    private readonly timer: TimerService,
    private readonly charge: ConnectionCharge,
  ) {}

  /** Whether the write buffer exceeds its high-water mark: no further answer should start. */
  get isFull(): boolean {
    return this.unsentBytes > HIGH_WATER_BYTES;
  }

  /** Calls a handler once, when the write buffer has drained. */
  onDrained(handler: () => void): void {
    this.socket.once('drain', handler);
  }

  /** Writes bytes; `onFlushed` is called when they have been flushed to the network. */
  write(bytes: Uint8Array, onFlushed?: () => void): void {
    if (this.socket.destroyed || this.socket.writableEnded) {
      return;
    }
    this.cork();
    this.boundaries.push(bytes);
    if (bytes.length > SMALL_BYTES) {
      this.sendSmall();
      this.send(bytes, onFlushed);
    } else {
      this.small.push(bytes);
      this.smallBytes += bytes.length;
      if (onFlushed !== undefined) {
        this.onSmallFlushed.push(onFlushed);
      }
    }
    this.charge.setUnsent(this.unsentBytes);
  }

  /** Whether the next byte starts a new message; false while a message is partly written. */
  get isAtBoundary(): boolean {
    return this.boundaries.isAtBoundary;
  }

  /**
   * Writes a final message and ends the connection. While a message is partly written, the
   * connection is destroyed instead: the caller would read the final message as the rest of it.
   */
  end(bytes?: Uint8Array): void {
    if (this.isAtBoundary) {
      this.sendSmall();
      endSocket(this.socket, this.timer, bytes);
    } else {
      this.socket.destroy();
    }
  }

  /** Pauses or resumes reading from the caller. */
  setReading(reading: boolean): void {
    if (reading === this.isReading) {
      return;
    }
    this.isReading = reading;
    if (reading) {
      this.socket.resume();
    } else {
      this.socket.pause();
    }
  }

  /** Returns received bytes to the socket, which gives them again once it is read. */
  returnReceived(bytes: Buffer): void {
    this.socket.unshift(bytes);
  }

  private get unsentBytes(): number {
    return this.socket.writableLength + this.smallBytes;
  }

  private sendSmall(): void {
    const { small, onSmallFlushed } = this;
    const [first] = small;
    this.small = [];
    this.smallBytes = 0;
    this.onSmallFlushed = [];
    const isOpen = !this.socket.destroyed && !this.socket.writableEnded;
    if (first !== undefined && isOpen) {
      this.send(small.length === 1 ? first : Buffer.concat(small), () =>
        onSmallFlushed.forEach((onFlushed) => onFlushed()),
      );
    }
  }

  private send(bytes: Uint8Array, onFlushed?: () => void): void {
    this.socket.write(bytes, (error) => {
      this.charge.setUnsent(this.unsentBytes);
      if (!error) {
        onFlushed?.();
      }
    });
  }

  private cork(): void {
    if (!this.isCorked) {
      this.isCorked = true;
      this.socket.cork();
      process.nextTick(() => {
        this.isCorked = false;
        this.sendSmall();
        this.socket.uncork();
      });
    }
  }
}
