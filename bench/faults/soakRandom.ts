import type { RandomSource } from '../../src/common/random.js';
import { SeededRandom } from '../../src/daemon/seededRandom.js';

/** Seeds of one run's generators follow one another. */
const SEED_STEP = 1000;
const FIRST_FACTOR = 0x85ebca6b;
const SECOND_FACTOR = 0xc2b2ae35;

/**
 * Random numbers of one part of a seed's run, so that the times of other parts change nothing. Seeds are mixed
 * (MurmurHash3's last step), as the generator's first numbers are alike for seeds that are close.
 */
export function createSoakRandom(seed: number, part: number): RandomSource {
  let mixed = (seed * SEED_STEP + part) | 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_FACTOR);
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_FACTOR);
  return new SeededRandom(mixed ^ (mixed >>> 16));
}
