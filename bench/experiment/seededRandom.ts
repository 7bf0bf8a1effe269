import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { RandomSource } from '../../src/common/random.js';

const RANGE = 0x1_0000_0000;

/** Random numbers that the seed alone decides. */
export class SeededRandom extends RandomSource {
  private readonly generator: RandomGenerator;

  constructor(seed: number) {
    super();
    this.generator = xoroshiro128plus(seed);
  }

  override next(): number {
    return (this.generator.next() >>> 0) / RANGE;
  }

  /** A waiting time of a Poisson process with the given mean. */
  nextExponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }
}
