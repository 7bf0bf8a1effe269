/** What happened in the placement by load, counted at the control leader. */
export enum PlacementEvent {
  /** A group was asked to move for its load. */
  GroupMoved = 'group-moved',
  /** An account was asked to move for its load. */
  AccountMoved = 'account-moved',
  /** The work of a resource was recorded. */
  Recorded = 'recorded',
  /** A report was ignored because it may be old. */
  IgnoredStale = 'ignored-stale',
  /** The work of a resource was ignored because the sender does not hold it under its lease. */
  IgnoredForeign = 'ignored-foreign',
  /** A figure was ignored because it is negative, not finite or far too large. */
  IgnoredOutOfRange = 'ignored-out-of-range',
}
