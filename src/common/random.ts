/** Injected source of random numbers, so that runs with the same seed are reproducible. */
export abstract class RandomSource {
  /** Returns a number of at least 0 and below 1. */
  abstract next(): number;
}
