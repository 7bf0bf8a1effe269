import { assertInvariant } from '../../common/diagnostics/index.js';
import type { AccountLimit } from './accountLimit.js';
import { CLOCK_DRIFT } from './limitTiming.js';

const ROUNDING_TOLERANCE = 1e-6;

/**
 * Tokens of one account: those available and those granted but not settled. Their sum never exceeds
 * the burst, so tokens used later still conform to rate and burst.
 */
export class TokenPool {
  protected available = 0;
  protected outstanding = 0;
  protected refilledMs: number;

  /** Starts with the tokens that the previous holder handed over; refills from `startMs` on. */
  constructor(
    protected limit: AccountLimit,
    startMs: number,
    tokens = 0,
  ) {
    this.refilledMs = startMs;
    this.available = Math.min(tokens, limit.burst);
  }

  /** Tokens that can be granted now; negative while a lowered burst is exceeded. */
  getAvailable(): number {
    return this.available;
  }

  /** Tokens granted and not settled. */
  getOutstanding(): number {
    return this.outstanding;
  }

  /** Number of complete tokens that can be granted now. */
  getWholeTokens(): number {
    return Math.max(0, Math.floor(this.available + ROUNDING_TOLERANCE));
  }

  /** Adds the tokens gained since the last call. */
  refill(nowMs: number): void {
    if (nowMs <= this.refilledMs) {
      return;
    }
    const gain = ((nowMs - this.refilledMs) / 1000) * (this.limit.rate / (1 + CLOCK_DRIFT));
    this.refilledMs = nowMs;
    this.available = Math.min(this.available + gain, this.limit.burst - this.outstanding);
  }

  /** Sets the rate and burst; `refill` must be called first. */
  setLimit(limit: AccountLimit): void {
    this.limit = limit;
    this.available = Math.min(this.available, limit.burst - this.outstanding);
  }

  /** Moves tokens from available to outstanding. */
  grant(amount: number): void {
    assertInvariant(
      amount <= this.available + 2 * ROUNDING_TOLERANCE,
      'a grant is covered by the pool',
    );
    this.available -= amount;
    this.outstanding += amount;
  }

  /** Settles a grant: unused tokens become available again, used ones are consumed. */
  settle(amount: number, unused: number): void {
    assertInvariant(unused >= 0 && unused <= amount, 'a settlement lies within its grant');
    assertInvariant(amount <= this.outstanding, 'a settled grant was outstanding');
    this.outstanding -= amount;
    this.available += unused;
  }
}
