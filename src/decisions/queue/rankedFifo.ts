import { Fifo } from './fifo.js';

/** Number of more urgent elements after which the first of a less urgent rank goes before others. */
const MAXIMUM_PASSES = 10;

/** Elements of one rank, with how many more urgent ones were taken while they waited. */
interface RankQueue<Element> {
  readonly rank: number;
  readonly elements: Fifo<Element>;
  passes: number;
}

/**
 * Elements in order of rank, the most urgent first, and of arrival within a rank. A less urgent
 * element is passed over a limited number of times. Elements that are out of date are skipped.
 */
export class RankedFifo<Element> {
  /** By rank; only ranks that have had elements. */
  private readonly queues: RankQueue<Element>[] = [];

  constructor(
    private readonly getRank: (element: Element) => number,
    private readonly isCurrent: (element: Element) => boolean,
  ) {}

  /** Adds an element after the others of its rank. */
  push(element: Element): void {
    this.getQueue(this.getRank(element)).elements.push(element);
  }

  /** Adds an element before the others of its rank. */
  unshift(element: Element): void {
    this.getQueue(this.getRank(element)).elements.unshift(element);
  }

  /** Returns the element that `shift` would remove. */
  peek(): Element | undefined {
    return this.choose()?.elements.peek();
  }

  /** Returns the first element of a rank. */
  peekRank(rank: number): Element | undefined {
    return this.dropOutOfDate(this.getQueue(rank));
  }

  /** Removes and returns the first element. */
  shift(): Element | undefined {
    const chosen = this.choose();
    if (chosen === undefined) {
      return undefined;
    }
    chosen.passes = 0;
    for (const queue of this.queues) {
      if (queue.rank > chosen.rank && queue.elements.size > 0) {
        queue.passes += 1;
      }
    }
    return chosen.elements.shift();
  }

  private choose(): RankQueue<Element> | undefined {
    let first: RankQueue<Element> | undefined;
    for (const queue of this.queues) {
      if (this.dropOutOfDate(queue) === undefined) {
        queue.passes = 0;
      } else if (queue.passes >= MAXIMUM_PASSES) {
        return queue;
      } else {
        first ??= queue;
      }
    }
    return first;
  }

  private dropOutOfDate({ elements }: RankQueue<Element>): Element | undefined {
    for (let first = elements.peek(); first !== undefined; first = elements.peek()) {
      if (this.isCurrent(first)) {
        return first;
      }
      elements.shift();
    }
    return undefined;
  }

  private getQueue(rank: number): RankQueue<Element> {
    const known = this.queues.find((each) => each.rank === rank);
    if (known !== undefined) {
      return known;
    }
    const created = { rank, elements: new Fifo<Element>(), passes: 0 };
    this.queues.push(created);
    this.queues.sort((left, right) => left.rank - right.rank);
    return created;
  }
}
