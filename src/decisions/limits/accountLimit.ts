/** Fleet-wide rate limit of one client account. */
export interface AccountLimit {
  /** Requests per second. */
  readonly rate: number;
  /** Requests that may be admitted at once above the rate. */
  readonly burst: number;
}
