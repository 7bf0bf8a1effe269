import { assertInvariant } from '../../common/diagnostics/index.js';
import type { Settlement } from './settlement.js';

/** A closed portion. */
export interface ClosedPortion extends Settlement {
  readonly unused: number;
}

interface Portion {
  readonly sequence: number;
  readonly amount: number;
  readonly expiresMs: number;
  remaining: number;
}

/** The unexpired tokens of one account at one entry daemon, oldest first. */
export class TokenStock {
  private portions: Portion[] = [];
  private remaining = 0;

  get isEmpty(): boolean {
    return this.portions.length === 0;
  }

  /** Tokens in stock; call `expire` first. */
  getRemaining(): number {
    return this.remaining;
  }

  /** Tokens in stock that can still be used at `atMs`. */
  getRemainingAt(atMs: number): number {
    let sum = 0;
    for (const portion of this.portions) {
      sum += portion.expiresMs > atMs ? portion.remaining : 0;
    }
    return sum;
  }

  /** Adds a granted portion. */
  add(sequence: number, amount: number, expiresMs: number): void {
    this.portions.push({ sequence, amount, expiresMs, remaining: amount });
    this.remaining += amount;
  }

  /** Spends tokens; the stock must hold them. Returns the portions that this closed. */
  spend(cost: number): ClosedPortion[] {
    assertInvariant(cost <= this.remaining, 'only tokens in stock are spent');
    let owed = cost;
    for (const portion of this.portions) {
      const part = Math.min(owed, portion.remaining);
      portion.remaining -= part;
      owed -= part;
      if (owed === 0) {
        break;
      }
    }
    this.remaining -= cost;
    return this.close((portion) => portion.remaining === 0);
  }

  /** Drops expired portions and returns their settlements. */
  expire(nowMs: number): ClosedPortion[] {
    const first = this.portions[0];
    if (first === undefined) {
      return [];
    }
    return this.close((portion) => portion.expiresMs <= nowMs);
  }

  /** Gives up everything in stock and returns the settlements. */
  surrender(): ClosedPortion[] {
    return this.close(() => true);
  }

  private close(isClosed: (portion: Portion) => boolean): ClosedPortion[] {
    const settled: ClosedPortion[] = [];
    const kept: Portion[] = [];
    for (const portion of this.portions) {
      if (isClosed(portion)) {
        this.remaining -= portion.remaining;
        const { sequence, amount, remaining } = portion;
        settled.push({ sequence, used: amount - remaining, unused: remaining });
      } else {
        kept.push(portion);
      }
    }
    if (settled.length > 0) {
      this.portions = kept;
    }
    return settled;
  }
}
