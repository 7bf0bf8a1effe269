/** A source of random numbers that decisions are given, so that runs can be repeated. */
export abstract class RandomSource {
  /** A number at least 0 and below 1. */
  abstract next(): number;
}
