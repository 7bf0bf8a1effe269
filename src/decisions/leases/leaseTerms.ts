/** The length of daemon leases and the bounds within which they are counted. */
export interface LeaseTerms {
  /** Length of a lease, in milliseconds, counted by its holder from before it sends a renewal. */
  readonly lengthMs: number;
  /** Largest relative difference between the rates of two hosts' clocks. */
  readonly driftBound: number;
  /**
   * Time after a commit from which a daemon that has still not applied it is granted nothing more, so
   * that what it holds goes to another daemon. Longer than renewals wait at a busy leader.
   */
  readonly applyTimeoutMs: number;
}

/** The default lease terms. */
export const DEFAULT_LEASE_TERMS: LeaseTerms = {
  lengthMs: 1500,
  driftBound: 0.01,
  applyTimeoutMs: 2000,
};

/**
 * Time after which the granter may count a lease as over, in milliseconds from receiving a renewal.
 */
export function getGranterLengthMs(terms: LeaseTerms): number {
  return terms.lengthMs * (1 + terms.driftBound);
}

/** Time after its commit by which a change is in force on every daemon with a lease. */
export function getInForceBoundMs(terms: LeaseTerms): number {
  return getGranterLengthMs(terms);
}
