import { serialize } from 'pg-protocol';
import { PRIMARY_PROBE } from '../backend/index.js';

/** Reads the primary's position right after a request, over the same connection. */
export const POSITION_QUERY: Uint8Array = serialize.query(PRIMARY_PROBE);
