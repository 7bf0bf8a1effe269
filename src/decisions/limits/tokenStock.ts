import { assertInvariant } from '../../common/diagnostics/index.js';
import type { Settlement } from './settlement.js';

/** A closed grant with its unused tokens. */
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

  /** Tokens in stock; `expire` must be called first. */
  getRemaining(): number {
    return this.remaining;
  }

  /** Tokens in stock that can still be used at `atMs`. */
  getRemainingAt(atMs: number): number {
    let sum = 0;
    for (const grant of this.grants) {
      sum += grant.expiresMs > atMs ? grant.remaining : 0;
    }
    return sum;
  }

  /** Adds the tokens of a grant. */
  add(sequence: number, amount: number, expiresMs: number): void {
    this.grants.push({ sequence, amount, expiresMs, remaining: amount });
    this.remaining += amount;
  }

  /** Spends tokens, of which the stock must hold enough; returns the grants that this closes. */
  spend(cost: number): ClosedGrant[] {
    assertInvariant(cost <= this.remaining, 'only tokens in stock are spent');
    let uncovered = cost;
    for (const grant of this.grants) {
      const spent = Math.min(uncovered, grant.remaining);
      grant.remaining -= spent;
      uncovered -= spent;
      if (uncovered === 0) {
        break;
      }
    }
    this.remaining -= cost;
    return this.close((grant) => grant.remaining === 0);
  }

  /** Closes expired grants and returns their settlements. */
  expire(nowMs: number): ClosedGrant[] {
    const first = this.grants[0];
    if (first === undefined) {
      return [];
    }
    return this.close((grant) => grant.expiresMs <= nowMs);
  }

  /** Closes all grants in stock and returns their settlements. */
  releaseAll(): ClosedGrant[] {
    return this.close(() => true);
  }

  private close(isClosed: (grant: HeldGrant) => boolean): ClosedGrant[] {
    const settled: ClosedGrant[] = [];
    const kept: HeldGrant[] = [];
    for (const grant of this.grants) {
      if (isClosed(grant)) {
        this.remaining -= grant.remaining;
        const { sequence, amount, remaining } = grant;
        settled.push({ sequence, used: amount - remaining, unused: remaining });
      } else {
        kept.push(grant);
      }
    }
    if (settled.length > 0) {
      this.grants = kept;
    }
    return settled;
  }
}
