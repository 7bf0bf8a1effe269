import type { AccountLimit } from '../../src/decisions/limits/index.js';
import type { Admission } from './tokenFleet.js';

const ROUNDING = 1e-3;

/** A limit and the real time from which it binds. */
export interface LimitPeriod {
  readonly fromMs: number;
  readonly limit: AccountLimit;
}

/**
 * Turns changes of a limit into the periods that bind: a lowered limit binds once the grants made
 * before it have run out.
 */
export function createPeriods(changes: readonly LimitPeriod[], graceMs: number): LimitPeriod[] {
  const starts = changes.flatMap((change) => [change.fromMs, change.fromMs + graceMs]);
  return starts
    .sort((left, right) => left - right)
    .map((fromMs) => ({ fromMs, limit: getLoosest(changes, fromMs, graceMs) }));
}

function getLoosest(changes: readonly LimitPeriod[], atMs: number, graceMs: number): AccountLimit {
  const inForce = changes.filter((change, index) => {
    const endMs = changes[index + 1]?.fromMs ?? Number.POSITIVE_INFINITY;
    return change.fromMs <= atMs && endMs > atMs - graceMs;
  });
  return {
    rate: Math.max(...inForce.map((change) => change.limit.rate)),
    burst: Math.max(...inForce.map((change) => change.limit.burst)),
  };
}

/**
 * Checks that over every window what was admitted stays within rate and burst; equal to a token
 * bucket that starts full and never runs below zero. Returns the first admission that breaks it.
 */
export function findExcess(
  admissions: readonly Admission[],
  periods: readonly LimitPeriod[],
): Admission | undefined {
  const reference = new ReferenceBucket(periods);
  return admissions.find((admission) => !reference.take(admission));
}

class ReferenceBucket {
  private limit: AccountLimit;
  private level: number;
  private atMs = 0;
  private next = 0;

  constructor(private readonly periods: readonly LimitPeriod[]) {
    this.limit = periods[0]?.limit ?? { rate: 0, burst: 0 };
    this.level = this.limit.burst;
  }

  take(admission: Admission): boolean {
    for (let period = this.periods[this.next]; period !== undefined;) {
      if (period.fromMs > admission.atMs) {
        break;
      }
      this.advance(period.fromMs);
      this.limit = period.limit;
      this.level = Math.min(this.level, this.limit.burst);
      this.next += 1;
      period = this.periods[this.next];
    }
    this.advance(admission.atMs);
    this.level -= admission.cost;
    return this.level >= -ROUNDING;
  }

  private advance(untilMs: number): void {
    const gain = ((untilMs - this.atMs) / 1000) * this.limit.rate;
    this.level = Math.min(this.limit.burst, this.level + gain);
    this.atMs = untilMs;
  }
}
