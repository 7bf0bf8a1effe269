import type { Socket } from 'node:net';

const FLUSH_BYTES = 65_536;

/** Collects messages for a client and writes them with back-pressure. */
export class OutputBuffer {
  /** Whether messages are dropped instead of sent. */
  isSilent = false;
  private pending: Buffer[] = [];
  private pendingBytes = 0;

  constructor(private readonly socket: Socket) {}

  /** Adds a message. */
  add(message: Buffer): void {
    this.pending.push(message);
    this.pendingBytes += message.length;
  }

  /** Whether so much is pending that it should be flushed before more is added. */
  get isFull(): boolean {
    return this.pendingBytes >= FLUSH_BYTES;
  }

  /** Writes what is pending; the result resolves once the client takes more. */
  flush(): Promise<void> | undefined {
    const { pending } = this;
    const [first] = pending;
    this.pending = [];
    this.pendingBytes = 0;
    if (first === undefined || this.isSilent || !this.socket.writable) {
      return undefined;
    }
    const bytes = pending.length === 1 ? first : Buffer.concat(pending);
    return this.socket.write(bytes) ? undefined : this.waitForDrain();
  }

  private waitForDrain(): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.socket.off('drain', finish);
        this.socket.off('close', finish);
        resolve();
      };
      this.socket.on('drain', finish);
      this.socket.on('close', finish);
    });
  }
}
