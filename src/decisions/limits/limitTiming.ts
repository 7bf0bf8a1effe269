/** Life of a grant, counted by the entry daemon from when it sent its request. */
export const GRANT_VALIDITY_MS = 300;

/** Bound on how far any clock's speed differs from real time. */
export const CLOCK_DRIFT = 0.01;

/** The time after which a grant is over on every clock, measured on the clock of another host. */
export const GRANT_SETTLED_MS = (GRANT_VALIDITY_MS * (1 + CLOCK_DRIFT)) / (1 - CLOCK_DRIFT);

/** How long an entry daemon waits for its first grant before it sends a new request. */
export const REQUEST_RETRY_MS = GRANT_VALIDITY_MS / 4;

/** How long a holder keeps an unanswered request, and the longest wait for a grant. */
export const REQUEST_PARKED_MS = GRANT_VALIDITY_MS * 0.8;

/** Time over which a scarce account's tokens are gathered into one grant. */
export const GRANT_BATCH_MS = 20;

/** How often a holder asks for idle tokens at most. */
export const RECALL_INTERVAL_MS = 50;

/** Demand that a prefetched portion covers. */
export const PREFETCH_HORIZON_MS = 100;

/** Time beyond two round trips for which tokens are kept in stock. */
export const PREFETCH_MARGIN_MS = 10;

/** Longest time for which tokens are kept in stock ahead, however long the round trip. */
export const MAXIMUM_LEAD_MS = GRANT_VALIDITY_MS / 2;

/** Demand, in tokens a second, from which a token is kept in stock. */
export const RESERVE_DEMAND = 1;

/** Longest time for which a bucket that began empty counts as starting: callers lost no more than that. */
export const MAXIMUM_STARTING_MS = 2000;

/** An account that had fewer tokens left than its rate gives in this time is scarce. */
export const SCARCITY_HORIZON_MS = 100;

/** How long a grant that left few tokens tells that the account is scarce. */
export const SCARCITY_VALIDITY_MS = 1000;

/** How long after its last request an account prefetches. */
export const ACTIVITY_WINDOW_MS = 2000;

/** Time constant of the demand estimate. */
export const DEMAND_WINDOW_MS = 500;

/** Round-trip time assumed before the first was measured. */
export const INITIAL_ROUND_TRIP_MS = 5;

/** Largest part of a deadline that is kept for running the request. */
export const RUN_RESERVE_MS = 300;

/** Share of a short deadline that is kept for running the request. */
export const RUN_RESERVE_SHARE = 0.2;

/** Requests of one account that may wait at one entry daemon. */
export const MAXIMUM_WAITING = 10_000;

/** How long a holder remembers an entry daemon that holds no grant and sends nothing. */
export const LEDGER_RETENTION_MS = 2000;

/** Longest life of a grant that is over on every clock `leftMs` from now on the clock of its holder. */
export function getValidityMs(leftMs: number): number {
  return Math.min(GRANT_VALIDITY_MS, (leftMs * (1 - CLOCK_DRIFT)) / (1 + CLOCK_DRIFT));
}
