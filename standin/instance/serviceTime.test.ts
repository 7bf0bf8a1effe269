import { describe, expect, it } from 'vitest';
import type { Faults } from './faults.js';
import { ServiceTime } from './serviceTime.js';

const DRAWS = 20_000;

function draw(seed: number, statementDistribution: Faults['statementDistribution']): number[] {
  const serviceTime = new ServiceTime(seed);
  const faults = { statementMs: 4, statementDistribution } as Faults;
  return Array.from({ length: DRAWS }, () => serviceTime.draw(faults));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

describe('ServiceTime', () => {
  it.each(['fixed', 'uniform', 'exponential'] as const)('has the set mean: %s', (distribution) => {
    expect(mean(draw(3, distribution))).toBeCloseTo(4, 0);
  });

  it('spreads as its distribution says', () => {
    expect(new Set(draw(3, 'fixed'))).toEqual(new Set([4]));
    expect(Math.max(...draw(3, 'uniform'))).toBeLessThanOrEqual(8);
    expect(Math.max(...draw(3, 'exponential'))).toBeGreaterThan(20);
  });

  it('is decided by the seed', () => {
    expect(draw(5, 'exponential')).toEqual(draw(5, 'exponential'));
    expect(draw(5, 'exponential')).not.toEqual(draw(6, 'exponential'));
  });
});
