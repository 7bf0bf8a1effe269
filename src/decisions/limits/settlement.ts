/** An entry daemon's report that it has closed a grant and will use no more of its tokens. */
export interface Settlement {
  /** Sequence number of the request that the grant answered. */
  readonly sequence: number;
  /** Tokens used; 0 when the grant was never received. */
  readonly used: number;
}
