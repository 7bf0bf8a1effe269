import type { Duplex } from 'node:stream';

/** The way out to one caller; gathers what is written at once. */
export class CallerWriter {
  private reading = true;
  private corked = false;

  constructor(private readonly socket: Duplex) {}

  /** Writes bytes; `onTaken` is called when the network has taken them. */
  write(bytes: Uint8Array, onTaken?: () => void): void {
    if (this.socket.destroyed || this.socket.writableEnded) {
      return;
    }
    this.cork();
    this.socket.write(bytes, (error) => {
      if (!error) {
        onTaken?.();
      }
    });
  }

  /** Writes last bytes and ends the connection. */
  end(bytes?: Uint8Array): void {
    this.socket.end(bytes);
  }

  /** Stops or continues to read from the caller. */
  setReading(reading: boolean): void {
    if (reading === this.reading) {
      return;
    }
    this.reading = reading;
    if (reading) {
      this.socket.resume();
    } else {
      this.socket.pause();
    }
  }

  private cork(): void {
    if (!this.corked) {
      this.corked = true;
      this.socket.cork();
      process.nextTick(() => {
        this.corked = false;
        this.socket.uncork();
      });
    }
  }
}
