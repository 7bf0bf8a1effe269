import { write } from 'node:fs';

/** Maximum text buffered for a slow reader; lines beyond it are dropped and counted. */
export const MAXIMUM_QUEUED_CHARACTERS = 262_144;

/** Destination of text; calls `onWritten` once the text was written or dropped. */
export type TextSink = (text: string, onWritten: () => void) => void;

/** Creates a sink that writes to a file descriptor without blocking on its reader. */
export function createDescriptorSink(descriptor: number): TextSink {
  const writeBytes = (bytes: Buffer, onWritten: () => void): void => {
    write(descriptor, bytes, (error, written) => {
      // On an error, such as a closed pipe, the text is dropped.
      if (error !== null || written >= bytes.length) {
        onWritten();
      } else {
        writeBytes(bytes.subarray(written), onWritten);
      }
    });
  };
  return (text, onWritten) => writeBytes(Buffer.from(text), onWritten);
}

/** Writes lines in batches; a stalled reader blocks nothing and costs bounded memory. */
export class BoundedWriter {
  private queuedLines: string[] = [];
  private queuedCharacters = 0;
  private droppedLines = 0;
  private isWriting = false;
  private readonly drainCallbacks: (() => void)[] = [];

  constructor(
    private readonly sink: TextSink,
    /** Formats the line that states how many lines were dropped. */
    private readonly formatDroppedLines: (count: number) => string,
  ) {}

  /** Writes a line, at once or after the batch being written; drops it when the buffer is full. */
  write(line: string): void {
    if (this.queuedCharacters + line.length > MAXIMUM_QUEUED_CHARACTERS) {
      this.droppedLines += 1;
      return;
    }
    this.queuedLines.push(line);
    this.queuedCharacters += line.length;
    this.flush();
  }

  /** Calls back once every line was written; at once when none waits. */
  whenDrained(onDrained: () => void): void {
    this.drainCallbacks.push(onDrained);
    this.flush();
  }

  private flush(): void {
    if (this.isWriting) {
      return;
    }
    if (this.queuedLines.length === 0) {
      this.drainCallbacks.splice(0).forEach((onDrained) => onDrained());
      return;
    }
    const lines = this.queuedLines.splice(0);
    if (this.droppedLines > 0) {
      lines.push(this.formatDroppedLines(this.droppedLines));
      this.droppedLines = 0;
    }
    this.isWriting = true;
    this.sink(`${lines.join('\n')}\n`, () => {
      this.isWriting = false;
      this.queuedCharacters = this.queuedLines.reduce((sum, line) => sum + line.length, 0);
      this.flush();
    });
  }
}
