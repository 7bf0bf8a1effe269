const COMPACT_AT = 64;

/** A first-in first-out queue with O(1) operations. */
export class Fifo<Element> {
  private elements: (Element | undefined)[] = [];
  private head = 0;

  get size(): number {
    return this.elements.length - this.head;
  }

  /** The first element. */
  peek(): Element | undefined {
    return this.elements[this.head];
  }

  /** Adds an element at the end. */
  push(element: Element): void {
    this.elements.push(element);
  }

  /** Adds an element at the front. */
  unshift(element: Element): void {
    if (this.head > 0) {
      this.head -= 1;
      this.elements[this.head] = element;
    } else {
      this.elements.unshift(element);
    }
  }

  /** Removes and returns the first element. */
  shift(): Element | undefined {
    const element = this.elements[this.head];
    if (this.size === 0) {
      return undefined;
    }
    this.elements[this.head] = undefined;
    this.head += 1;
    if (this.head >= COMPACT_AT && this.head * 2 >= this.elements.length) {
      this.elements = this.elements.slice(this.head);
      this.head = 0;
    }
    return element;
  }
}
