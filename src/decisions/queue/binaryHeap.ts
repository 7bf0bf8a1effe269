/** A binary heap with the smallest element, by the given comparison, at the top. */
export class BinaryHeap<Element> {
  private readonly elements: Element[] = [];

  constructor(private readonly isBefore: (left: Element, right: Element) => boolean) {}

  get size(): number {
    return this.elements.length;
  }

  /** The smallest element. */
  peek(): Element | undefined {
    return this.elements[0];
  }

  /** Adds an element in O(log n). */
  push(element: Element): void {
    let index = this.elements.length;
    this.elements.push(element);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.elements[parentIndex];
      if (parent === undefined || !this.isBefore(element, parent)) {
        break;
      }
      this.elements[index] = parent;
      index = parentIndex;
    }
    this.elements[index] = element;
  }

  /** Removes and returns the smallest element in O(log n). */
  pop(): Element | undefined {
    const top = this.elements[0];
    const last = this.elements.pop();
    if (top === undefined || last === undefined || this.elements.length === 0) {
      return top;
    }
    this.siftDown(last);
    return top;
  }

  private siftDown(element: Element): void {
    const count = this.elements.length;
    let index = 0;
    for (;;) {
      let childIndex = 2 * index + 1;
      if (childIndex >= count) {
        break;
      }
      let child = this.elements[childIndex];
      const right = this.elements[childIndex + 1];
      if (child !== undefined && right !== undefined && this.isBefore(right, child)) {
        child = right;
        childIndex += 1;
      }
      if (child === undefined || !this.isBefore(child, element)) {
        break;
      }
      this.elements[index] = child;
      index = childIndex;
    }
    this.elements[index] = element;
  }
}
