import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { RandomSource } from '../common/random.js';

const RANGE = 2 ** 32;

/** Random numbers from a seed. */
export class SeededRandom extends RandomSource {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    super();
    this.generator = xoroshiro128plus(seed);
  }

  override next(): number {
    return (this.generator.next() >>> 0) / RANGE;
  }
}
