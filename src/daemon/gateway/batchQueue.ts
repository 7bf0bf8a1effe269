import { createFault, Diagnostics } from '../../common/diagnostics/index.js';
import type { CallerBatch } from './callerBatch.js';

/** More than the batches that one piece of received bytes can hold. */
const MAXIMUM_BATCHES = 32_768;
const HIGH_WATER_BATCHES = 64;
const HIGH_WATER_BYTES = 1_048_576;

/** A caller's batches that wait for their turn. */
export class BatchQueue {
  private batches: CallerBatch[] = [];
  private bytes = 0;

  get isEmpty(): boolean {
    return this.batches.length === 0;
  }

  /** Whether more should be read from the caller. */
  get isBelowHighWater(): boolean {
    return this.batches.length < HIGH_WATER_BATCHES && this.bytes < HIGH_WATER_BYTES;
  }

  /** Adds a batch; throws a Fault when there are far too many. */
  push(batch: CallerBatch): void {
    if (this.batches.length >= MAXIMUM_BATCHES) {
      throw createFault(Diagnostics.TooManyRequests, {}, { step: 'caller.read' });
    }
    this.batches.push(batch);
    this.bytes += batch.bytes;
  }

  /** Takes the oldest batch. */
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
