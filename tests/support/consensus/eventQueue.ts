interface QueuedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Simulated time: events run in order of their time, then of being added. */
export class EventQueue {
  nowMs = 0;
  private order = 0;
  private readonly heap: QueuedEvent[] = [];

  /** Adds an event. */
  schedule(delayMs: number, run: () => void): void {
    this.order++;
    this.heap.push({ atMs: this.nowMs + delayMs, order: this.order, run });
    this.siftUp(this.heap.length - 1);
  }

  /** Runs all events up to a time; `afterEach` runs after each of them. */
  runUntil(endMs: number, afterEach: () => void): void {
    for (let next = this.heap[0]; next !== undefined && next.atMs <= endMs; next = this.heap[0]) {
      this.removeFirst();
      this.nowMs = next.atMs;
      next.run();
      afterEach();
    }
    this.nowMs = endMs;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last !== undefined && this.heap.length > 0) {
      this.heap[0] = last;
      this.siftDown(0);
    }
  }

  private siftUp(start: number): void {
    let place = start;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (!this.swapIfLater(parent, place)) {
        return;
      }
      place = parent;
    }
  }

  private siftDown(start: number): void {
    let place = start;
    for (;;) {
      const left = 2 * place + 1;
      const child = this.isBefore(left + 1, left) ? left + 1 : left;
      if (!this.swapIfLater(place, child)) {
        return;
      }
      place = child;
    }
  }

  private swapIfLater(upper: number, lower: number): boolean {
    const above = this.heap[upper];
    const below = this.heap[lower];
    if (above === undefined || below === undefined || !this.isBefore(lower, upper)) {
      return false;
    }
    this.heap[upper] = below;
    this.heap[lower] = above;
    return true;
  }

  private isBefore(first: number, second: number): boolean {
    const left = this.heap[first];
    const right = this.heap[second];
    if (left === undefined || right === undefined) {
      return false;
    }
    return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
  }
}
