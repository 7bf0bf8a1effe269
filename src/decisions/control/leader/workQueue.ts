/**
 * Queue of items to process: first those that changed, then, in turn, those that must be processed
 * again.
 */
export class WorkQueue<Item> {
  private readonly changed = new Set<Item>();
  private readonly waiting = new Set<Item>();

  /** Adds an item that changed. */
  add(item: Item): void {
    this.changed.add(item);
  }

  /**
   * Processes at most `budget` changed items and returns the rest of the budget. An item for which
   * `handle` returns true waits to be processed again.
   */
  runChanged(budget: number, handle: (item: Item) => boolean): number {
    return this.run(this.changed, this.changed.size, budget, handle);
  }

  /** Processes at most `budget` waiting items, each once. */
  runWaiting(budget: number, handle: (item: Item) => boolean): number {
    return this.run(this.waiting, this.waiting.size, budget, handle);
  }

  /** Removes all items. */
  clear(): void {
    this.changed.clear();
    this.waiting.clear();
  }

  private run(
    items: Set<Item>,
    size: number,
    budget: number,
    handle: (item: Item) => boolean,
  ): number {
    const count = Math.min(size, budget);
    for (let done = 0; done < count; done++) {
      const next = items.values().next();
      if (next.done === true) {
        break;
      }
      const item = next.value;
      this.changed.delete(item);
      this.waiting.delete(item);
      if (handle(item)) {
        this.waiting.add(item);
      }
    }
    return budget - count;
  }
}
