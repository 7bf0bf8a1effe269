import { SeededRandom as UniformRandom } from '../../src/daemon/seededRandom.js';

/** Random numbers that the seed alone decides, with the distributions that a model asks for. */
export class SeededRandom extends UniformRandom {
  /** A waiting time of a Poisson process with the given mean. */
  nextExponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }
}
