import type { Duplex } from 'node:stream';
import type { TimerService } from '../../common/timer/index.js';
import { MessageBoundaryTracker } from './messageBoundaryTracker.js';
import { endSocket } from './endSocket.js';

const HIGH_WATER_BYTES = 262_144;

/** The way out to one caller; gathers what is written at once. */
export class CallerWriter {
  private readonly boundaries = new MessageBoundaryTracker();
  private isReading = true;
  private isCorked = false;

  constructor(
    private readonly socket: Duplex,
    private readonly timer: TimerService,
  ) {}

  /** Whether so much waits for the caller that nothing more should be produced. */
  get isFull(): boolean {
    return this.socket.writableLength > HIGH_WATER_BYTES;
  }

  /** Calls a handler once when everything written has been taken by the network. */
  onDrained(handler: () => void): void {
    this.socket.once('drain', handler);
  }

  /** Writes bytes; `onTaken` is called when the network has taken them. */
  write(bytes: Uint8Array, onFlushed?: () => void): void {
    if (this.socket.destroyed || this.socket.writableEnded) {
      return;
    }
    this.cork();
    this.boundaries.push(bytes);
    this.socket.write(bytes, (error) => {
      if (!error) {
        onFlushed?.();
      }
    });
  }

  /** Whether the next bytes begin a message; false inside one that was not written whole. */
  get isAtBoundary(): boolean {
    return this.boundaries.isAtBoundary;
  }

  /** Writes a last message and ends the connection; an unfinished message is cut off instead. */
  end(bytes?: Uint8Array): void {
    if (this.isAtBoundary) {
      endSocket(this.socket, this.timer, bytes);
    } else {
      this.socket.destroy();
    }
  }

  /** Stops or continues to read from the caller. */
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

  private cork(): void {
    if (!this.isCorked) {
      this.isCorked = true;
      this.socket.cork();
      process.nextTick(() => {
        this.isCorked = false;
        this.socket.uncork();
      });
    }
  }
}
