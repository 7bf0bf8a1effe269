import { write } from 'node:fs';

/** Maximum text buffered for a slow reader; lines beyond it are dropped and counted. */
export const MAXIMUM_WAITING_CHARACTERS = 262_144;

/** Destination of text; calls `onTaken` once the text was written. */
export type TextSink = (text: string, onTaken: () => void) => void;

/** Creates a sink that writes to a file descriptor without blocking on its reader. */
export function createDescriptorSink(descriptor: number): TextSink {
  const send = (bytes: Buffer, onTaken: () => void): void => {
    write(descriptor, bytes, (error, written) => {
      // On an error, such as a closed pipe, the text is dropped.
      if (error !== null || written >= bytes.length) {
        onTaken();
      } else {
        send(bytes.subarray(written), onTaken);
      }
    });
  };
  return (text, onTaken) => send(Buffer.from(text), onTaken);
}

/** Writes lines in batches; a stalled reader blocks nothing and costs bounded memory. */
export class BoundedWriter {
  private waiting: string[] = [];
  private characters = 0;
  private leftOut = 0;
  private isWriting = false;
  private readonly drained: (() => void)[] = [];

  constructor(
    private readonly sink: TextSink,
    /** Formats the line that states how many lines were dropped. */
    private readonly formatLeftOut: (count: number) => string,
  ) {}

  /** Writes a line, at once or after the batch being written; drops it when the buffer is full. */
  write(line: string): void {
    if (this.characters + line.length > MAXIMUM_WAITING_CHARACTERS) {
      this.leftOut += 1;
      return;
    }
    this.waiting.push(line);
    this.characters += line.length;
    this.flush();
  }

  /** Calls back once every line was written; at once when none waits. */
  whenDrained(onDrained: () => void): void {
    this.drained.push(onDrained);
    this.flush();
  }

  private flush(): void {
    if (this.isWriting) {
      return;
    }
    if (this.waiting.length === 0) {
      this.drained.splice(0).forEach((onDrained) => onDrained());
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
