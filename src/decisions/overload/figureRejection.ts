/** Reason why a load figure is ignored. */
export enum FigureRejection {
  /** The sender does not hold the group or replica under the lease that is in force. */
  Foreign = 'foreign',
  /** The answer claims more time at its sender than passed since the request was sent. */
  Future = 'future',
  /** The answer was under way for longer than the validity of a figure. */
  Stale = 'stale',
  /** The report is malformed or contains an impossible wait. */
  OutOfRange = 'out-of-range',
}
