/** Writes that a route's reads must observe. */
export enum Consistency {
  /** Every write that was acknowledged before the read began. */
  Latest = 'latest',
  /** Writes older than the route's staleness. */
  Bounded = 'bounded',
  /** The session's own writes, and those older than the route's staleness. */
  Session = 'session',
}
