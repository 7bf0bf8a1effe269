import type { AccountLimit } from '../../src/decisions/limits/index.js';
import type { Admission } from './tokenFleet.js';

const ROUNDING = 1e-3;

/** A limit and the real time from which it binds. */
export interface LimitPeriod {
  readonly fromMs: number;
  readonly limit: AccountLimit;
}

/**
 * Checks that over every window what was admitted stays within rate and burst; equal to a token
 * bucket that starts full and never runs below zero. Returns the first admission that breaks it.
 */
export function findExcess(
  admissions: readonly Admission[],
  periods: readonly LimitPeriod[],
): Admission | undefined {
  const [first, ...later] = periods;
  let limit = first?.limit ?? { rate: 0, burst: 0 };
  let level = limit.burst;
  let atMs = first?.fromMs ?? 0;
  const changes = [...later];
  const advance = (untilMs: number) => {
    level = Math.min(limit.burst, level + ((untilMs - atMs) / 1000) * limit.rate);
    atMs = untilMs;
  };
  for (const admission of admissions) {
    for (let next = changes[0]; next !== undefined && next.fromMs <= admission.atMs;) {
      advance(next.fromMs);
      level += Math.max(0, next.limit.burst - limit.burst);
      limit = next.limit;
      level = Math.min(level, limit.burst);
      changes.shift();
      next = changes[0];
    }
    advance(admission.atMs);
    level -= admission.cost;
    if (level < -ROUNDING) {
      return admission;
    }
  }
  return undefined;
}
