import { BinaryHeap } from '../../src/decisions/queue/binaryHeap.js';

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly handler: () => void;
}

/** Simulated time: handlers run in order of their time, then of their scheduling. */
export class EventLoop {
  private readonly events = new BinaryHeap<Event>((left, right) =>
    left.atMs === right.atMs ? left.order < right.order : left.atMs < right.atMs,
  );
  private scheduled = 0;
  private currentMs = 0;

  get nowMs(): number {
    return this.currentMs;
  }

  /** Runs the handler after a delay. */
  after(delayMs: number, handler: () => void): void {
    this.scheduled += 1;
    this.events.push({ atMs: this.currentMs + delayMs, order: this.scheduled, handler });
  }

  /** Runs the handler every interval from now on. */
  every(intervalMs: number, handler: () => void): void {
    this.after(intervalMs, () => {
      handler();
      this.every(intervalMs, handler);
    });
  }

  /** Runs everything that is due up to the given time. */
  runUntil(endMs: number): void {
    for (let next = this.events.peek(); next !== undefined; next = this.events.peek()) {
      if (next.atMs > endMs) {
        break;
      }
      this.events.pop();
      this.currentMs = next.atMs;
      next.handler();
    }
    this.currentMs = endMs;
  }
}
