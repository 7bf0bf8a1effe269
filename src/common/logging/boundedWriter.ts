import { write } from 'node:fs';

/** Text that waits for a reader at most; what comes beyond it is left out and counted. */
export const MAXIMUM_WAITING_CHARACTERS = 262_144;

/** Takes a piece of text; calls back once it was taken. */
export type TextSink = (text: string, onTaken: () => void) => void;

/** Writes to a file descriptor without waiting for its reader. */
export function createDescriptorSink(descriptor: number): TextSink {
  const send = (bytes: Buffer, onTaken: () => void): void => {
    write(descriptor, bytes, (error, written) => {
      // A reader that is gone takes nothing any more: its lines are dropped.
      if (error !== null || written >= bytes.length) {
        onTaken();
      } else {
        send(bytes.subarray(written), onTaken);
      }
    });
  };
  return (text, onTaken) => send(Buffer.from(text), onTaken);
}

/** Writes lines one batch at a time; a reader that stands still neither blocks nor grows the process. */
export class BoundedWriter {
  private waiting: string[] = [];
  private characters = 0;
  private leftOut = 0;
  private isWriting = false;
  private onIdle: (() => void) | undefined;

  constructor(
    private readonly sink: TextSink,
    /** Says in one line how many were left out. */
    private readonly formatLeftOut: (count: number) => string,
  ) {}

  /** Writes a line, now or when the reader has taken those before it. */
  write(line: string): void {
    if (this.characters + line.length > MAXIMUM_WAITING_CHARACTERS) {
      this.leftOut += 1;
      return;
    }
    this.waiting.push(line);
    this.characters += line.length;
    this.flush();
  }

  /** Calls back once everything is written; never while a reader stands still. */
  finish(onIdle: () => void): void {
    this.onIdle = onIdle;
    this.flush();
  }

  private flush(): void {
    if (this.isWriting) {
      return;
    }
    if (this.waiting.length === 0) {
      this.onIdle?.();
      return;
    }
    const lines = this.waiting.splice(0);
    if (this.leftOut > 0) {
      lines.push(this.formatLeftOut(this.leftOut));
      this.leftOut = 0;
    }
    this.isWriting = true;
    this.sink(`${lines.join('\n')}\n`, () => {
      this.isWriting = false;
      this.characters = this.waiting.reduce((sum, line) => sum + line.length, 0);
      this.flush();
    });
  }
}
