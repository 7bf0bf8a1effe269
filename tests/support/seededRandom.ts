import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { RandomSource } from '../../src/common/random.js';

/** Repeatable random numbers. */
export class SeededRandom extends RandomSource {
  private readonly generator;

  constructor(seed: number) {
    super();
    this.generator = xoroshiro128plus(seed);
  }

  override next(): number {
    return uniformFloat64(this.generator);
  }

  /** A whole number at least 0 and below the limit. */
  nextBelow(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** Whether something with this probability happens. */
  chance(probability: number): boolean {
    return this.next() < probability;
  }

  /** One of the items. */
  pick<Item>(items: readonly Item[]): Item | undefined {
    return items[this.nextBelow(items.length)];
  }
}
