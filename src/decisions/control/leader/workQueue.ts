/** What is to be looked at: what changed first, then in turn what waits for something. */
export class WorkQueue<Item> {
  private readonly changed = new Set<Item>();
  private readonly waiting = new Set<Item>();

  /** Notes that an item changed. */
  add(item: Item): void {
    this.changed.add(item);
  }

  /** Looks at changed items, at most `budget`; returns what is left of the budget. */
  runChanged(budget: number, handle: (item: Item) => boolean): number {
    return this.run(this.changed, this.changed.size, budget, handle);
  }

  /** Looks at waiting items, at most `budget`, each once. */
  runWaiting(budget: number, handle: (item: Item) => boolean): number {
    return this.run(this.waiting, this.waiting.size, budget, handle);
  }

  /** Forgets all items. */
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
