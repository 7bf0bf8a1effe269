import { randomInt } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { RandomSource } from '../common/random.js';

const RANGE = 2 ** 32;
/** Exclusive upper bound of random seeds: the generator takes signed 32-bit integers. */
const SEED_RANGE = 2 ** 31;

/** A random number generator with a seed, whose sequence is reproducible. */
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

/** Creates a generator with a random seed, for processes that need no reproducible sequence. */
export function createSystemRandom(): SeededRandom {
  return new SeededRandom(randomInt(SEED_RANGE));
}
