/** Closes one grant: the entry daemon will use no more of it. */
export interface Settlement {
  /** Sequence of the request that the grant answered. */
  readonly sequence: number;
  /** Tokens used; 0 when the grant was never received. */
  readonly used: number;
}
