import { serialize } from 'pg-protocol';

/**
 * Reads the position as a primary has it. `filbertpoint_term()` is the platform's: it gives the term
 * of the history that the instance is on.
 */
export const PRIMARY_PROBE =
  'SELECT pg_is_in_recovery(), pg_current_wal_lsn(), filbertpoint_term()';

/** Reads the position as a replica has it. */
export const REPLICA_PROBE =
  'SELECT pg_is_in_recovery(), pg_last_wal_replay_lsn(), filbertpoint_term()';

/** Reads the primary's position right after a request, over the same connection. */
export const POSITION_QUERY: Uint8Array = serialize.query(PRIMARY_PROBE);
