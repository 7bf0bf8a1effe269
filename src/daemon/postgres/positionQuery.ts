import { serialize } from 'pg-protocol';

/**
 * Reads the log position of a primary. The platform provides `filbertpoint_term()`, which returns
 * the term of the history that the instance follows.
 */
export const PRIMARY_PROBE =
  'SELECT pg_is_in_recovery(), pg_current_wal_lsn(), filbertpoint_term()';

/** Reads the log position up to which a replica has replayed the log. */
export const REPLICA_PROBE =
  'SELECT pg_is_in_recovery(), pg_last_wal_replay_lsn(), filbertpoint_term()';

/** Message that reads the primary's log position right after a request, on the same connection. */
export const POSITION_QUERY: Uint8Array = serialize.query(PRIMARY_PROBE);
