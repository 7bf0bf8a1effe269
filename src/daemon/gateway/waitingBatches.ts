import { createFault, Diagnostics } from '../../common/diagnostics/index.js';
import type { CallerBatch } from './callerBatch.js';

/** More than the batches that one piece of received bytes can hold. */
const MAXIMUM_BATCHES = 32_768;
const MAXIMUM_UNREAD_BATCHES = 64;
const MAXIMUM_UNREAD_BYTES = 1_048_576;

/** A caller's batches that wait for their turn. */
export class WaitingBatches {
  private batches: CallerBatch[] = [];
  private bytes = 0;

  get isEmpty(): boolean {
    return this.batches.length === 0;
  }

  /** Whether more should be read from the caller. */
  get hasRoom(): boolean {
    return this.batches.length < MAXIMUM_UNREAD_BATCHES && this.bytes < MAXIMUM_UNREAD_BYTES;
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
  take(): CallerBatch | undefined {
    const batch = this.batches.shift();
    this.bytes -= batch?.bytes ?? 0;
    return batch;
  }

  clear(): void {
    this.batches = [];
    this.bytes = 0;
  }
}
