import type { CallerBatch } from './callerBatch.js';

const HIGH_WATER_BATCHES = 64;
const HIGH_WATER_BYTES = 1_048_576;

/** Queue of a caller's batches that wait to be run. */
export class BatchQueue {
  private batches: CallerBatch[] = [];
  private bytes = 0;

  get count(): number {
    return this.batches.length;
  }

  /** Bytes of the messages of all batches. */
  get byteLength(): number {
    return this.bytes;
  }

  get isEmpty(): boolean {
    return this.batches.length === 0;
  }

  /** Whether the queue is below its high-water marks, so that more may be read from the caller. */
  get isBelowHighWater(): boolean {
    return this.batches.length < HIGH_WATER_BATCHES && this.bytes < HIGH_WATER_BYTES;
  }

  /** Adds a batch. */
  push(batch: CallerBatch): void {
    this.batches.push(batch);
    this.bytes += batch.bytes;
  }

  /** Removes and returns the oldest batch; undefined if the queue is empty. */
  shift(): CallerBatch | undefined {
    const batch = this.batches.shift();
    this.bytes -= batch?.bytes ?? 0;
    return batch;
  }

  clear(): void {
    this.batches = [];
    this.bytes = 0;
  }
}
