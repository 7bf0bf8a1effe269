/** The limit of one client account over the whole fleet. */
export interface AccountLimit {
  /** Requests a second. */
  readonly rate: number;
  /** Requests that may be admitted at once above the rate. */
  readonly burst: number;
}
