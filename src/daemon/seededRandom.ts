import { randomInt } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { RandomSource } from '../common/random.js';

const RANGE = 2 ** 32;
/** Seeds are drawn below this: the generator takes 32-bit signed whole numbers. */
const SEED_RANGE = 2 ** 31;

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

/** Random numbers from a seed that the system draws, for a process that need not be repeated. */
export function createSystemRandom(): SeededRandom {
  return new SeededRandom(randomInt(SEED_RANGE));
}
