import { Gauge } from './gauge.js';
import type { Interruption } from './interruption.js';

/** Lets a bounded number of statements execute at once; the others wait in order. */
export class SlotGate {
  readonly executing = new Gauge();
  private readonly waiting = new Set<() => void>();

  constructor(private readonly slots: number) {}

  /** The number of statements that wait for a slot. */
  get queued(): number {
    return this.waiting.size;
  }

  /** Takes a slot, after waiting for it where none is free. */
  async acquire(interruption: Interruption): Promise<void> {
    if (this.executing.value < this.slots) {
      this.executing.increment();
      return;
    }
    await interruption.wait((resolve) => {
      this.waiting.add(resolve);
      return () => this.waiting.delete(resolve);
    });
  }

  /** Gives a slot to the next that waits. */
  release(): void {
    const [next] = this.waiting;
    if (next === undefined) {
      this.executing.decrement();
      return;
    }
    this.waiting.delete(next);
    next();
  }
}
