/** Validity of a grant, counted by the entry daemon from the time at which it sent its request. */
export const GRANT_VALIDITY_MS = 300;

/** Bound on the relative drift of any host's clock from real time. */
export const CLOCK_DRIFT = 0.01;

/** Time after which a grant has expired on every host's clock, measured on any host's clock. */
export const GRANT_EXPIRY_MS = (GRANT_VALIDITY_MS * (1 + CLOCK_DRIFT)) / (1 - CLOCK_DRIFT);

/** Initial and shortest time for which an entry daemon waits for a grant before a new request. */
export const REQUEST_RETRY_MS = GRANT_VALIDITY_MS / 4;

/**
 * Time for which a holder keeps an unanswered request; also the longest time for which an entry
 * daemon waits for a grant before it sends a new request.
 */
export const REQUEST_TIMEOUT_MS = GRANT_VALIDITY_MS * 0.8;

/** Time over which the tokens of a scarce account are accumulated into one grant. */
export const GRANT_BATCH_MS = 20;

/** Minimum time between two recalls of idle tokens by a holder. */
export const RECALL_INTERVAL_MS = 50;

/** Minimum time whose demand is covered by a prefetch. */
export const PREFETCH_HORIZON_MS = 100;

/** Time, in addition to two round trips, whose demand is covered by the tokens in stock. */
export const PREFETCH_MARGIN_MS = 10;

/** Upper bound on the time whose demand is kept in stock, for any round-trip time. */
export const MAXIMUM_LEAD_MS = GRANT_VALIDITY_MS / 2;

/**
 * Steady demand, in tokens per second, from which tokens are prefetched and one spare token is kept
 * in stock. Below it most prefetched tokens would expire unused, at three messages each.
 */
export const PREFETCH_DEMAND = 1.5;

/** Time constant of the steady demand: several requests are needed to reach `PREFETCH_DEMAND`. */
export const STEADY_DEMAND_WINDOW_MS = 2000;

/**
 * Longest time for which a new bucket, which may have started empty, counts as starting. Callers
 * lose no more than this time by a change of holder.
 */
export const MAXIMUM_STARTING_MS = 2000;

/** An account is scarce if its holder has fewer tokens left than the rate yields in this time. */
export const SCARCITY_HORIZON_MS = 100;

/** Time for which a grant that left few tokens marks the account as scarce. */
export const SCARCITY_VALIDITY_MS = 1000;

/** Time after its last request for which an account prefetches tokens. */
export const ACTIVITY_WINDOW_MS = 2000;

/** Time constant of the demand estimate. */
export const DEMAND_WINDOW_MS = 500;

/** Round-trip time assumed before the first measurement. */
export const INITIAL_ROUND_TRIP_MS = 5;

/** Upper bound on the time before a deadline that is reserved for running the request. */
export const RUN_RESERVE_MS = 300;

/** Share of the time until a short deadline that is reserved for running the request. */
export const RUN_RESERVE_SHARE = 0.2;

/** Maximum number of waiting requests of one account at one entry daemon. */
export const MAXIMUM_WAITING = 10_000;

/** Time for which a holder keeps the ledger of an entry daemon without grants and messages. */
export const LEDGER_RETENTION_MS = 2000;

/**
 * Returns the longest validity of a grant that has expired on every host's clock by `leftMs` from
 * now on the holder's clock.
 */
export function getValidityMs(leftMs: number): number {
  return Math.min(GRANT_VALIDITY_MS, (leftMs * (1 - CLOCK_DRIFT)) / (1 + CLOCK_DRIFT));
}
