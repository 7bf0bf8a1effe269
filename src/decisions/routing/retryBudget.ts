/** Limits repeated attempts to a share of first attempts, so that retries can't multiply load. */
export class RetryBudget {
  private tokens: number;

  constructor(
    private readonly share: number,
    private readonly maximumTokens: number,
  ) {
    this.tokens = maximumTokens;
  }

  /** Counts a first attempt. */
  recordAttempt(): void {
    this.tokens = Math.min(this.maximumTokens, this.tokens + this.share);
  }

  /** Takes one retry from the budget; false when it is used up. */
  tryTakeRetry(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
