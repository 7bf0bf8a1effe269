import { assertInvariant } from '../../common/diagnostics/index.js';
import type { Settlement } from './settlement.js';

/** A closed portion. */
export interface ClosedGrant extends Settlement {
  readonly unused: number;
}

interface HeldGrant {
  readonly sequence: number;
  readonly amount: number;
  readonly expiresMs: number;
  remaining: number;
}

/** The unexpired tokens of one account at one entry daemon, oldest first. */
export class TokenStock {
  private grants: HeldGrant[] = [];
  private remaining = 0;

  get isEmpty(): boolean {
    return this.grants.length === 0;
  }

  /** Tokens in stock; call `expire` first. */
  getRemaining(): number {
    return this.remaining;
  }

  /** Tokens in stock that can still be used at `atMs`. */
  getRemainingAt(atMs: number): number {
    let sum = 0;
    for (const portion of this.grants) {
      sum += portion.expiresMs > atMs ? portion.remaining : 0;
    }
    return sum;
  }

  /** Adds a granted portion. */
  add(sequence: number, amount: number, expiresMs: number): void {
    this.grants.push({ sequence, amount, expiresMs, remaining: amount });
    this.remaining += amount;
  }

  /** Spends tokens; the stock must hold them. Returns the portions that this closed. */
  spend(cost: number): ClosedGrant[] {
    assertInvariant(cost <= this.remaining, 'only tokens in stock are spent');
    let owed = cost;
    for (const portion of this.grants) {
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
  expire(nowMs: number): ClosedGrant[] {
    const first = this.grants[0];
    if (first === undefined) {
      return [];
    }
    return this.close((portion) => portion.expiresMs <= nowMs);
  }

  /** Gives up everything in stock and returns the settlements. */
  releaseAll(): ClosedGrant[] {
    return this.close(() => true);
  }

  private close(isClosed: (portion: HeldGrant) => boolean): ClosedGrant[] {
    const settled: ClosedGrant[] = [];
    const kept: HeldGrant[] = [];
    for (const portion of this.grants) {
      if (isClosed(portion)) {
        this.remaining -= portion.remaining;
        const { sequence, amount, remaining } = portion;
        settled.push({ sequence, used: amount - remaining, unused: remaining });
      } else {
        kept.push(portion);
      }
    }
    if (settled.length > 0) {
      this.grants = kept;
    }
    return settled;
  }
}
