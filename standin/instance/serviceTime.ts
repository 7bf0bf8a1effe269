import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Faults } from './faults.js';

const TWO_TO_32 = 4_294_967_296;

/** Draws service times of statements from a seeded generator. */
export class ServiceTime {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** A service time in milliseconds. */
  draw({ statementMs, statementDistribution }: Faults): number {
    switch (statementDistribution) {
      case 'fixed':
        return statementMs;
      case 'uniform':
        return 2 * statementMs * this.drawFraction();
      case 'exponential':
        return -statementMs * Math.log(1 - this.drawFraction());
    }
  }

  private drawFraction(): number {
    return (this.generator.next() >>> 0) / TWO_TO_32;
  }
}
