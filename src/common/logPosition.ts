import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from './diagnostics/index.js';
import { toLogPosition, type LogPosition } from './ids/index.js';

const LOW_HALF = 0x1_0000_0000;
const HIGHEST_HIGH_HALF = 0x1f_ffff;
const PATTERN = /^([0-9A-Fa-f]{1,8})\/([0-9A-Fa-f]{1,8})$/;

/** Formats a log position in the PostgreSQL notation, such as `0/16B3748`. */
export function formatLogPosition(position: LogPosition): string {
  const high = Math.floor(position / LOW_HALF).toString(16);
  const low = (position % LOW_HALF).toString(16);
  return `${high}/${low}`.toUpperCase();
}

/**
 * Parses a log position in the PostgreSQL notation. Malformed text and positions above
 * `Number.MAX_SAFE_INTEGER` are faults.
 */
export function tryParseLogPosition(text: string): Result<LogPosition, Fault> {
  const match = PATTERN.exec(text);
  const high = parseInt(match?.[1] ?? '', 16);
  const low = parseInt(match?.[2] ?? '', 16);
  if (match === null || high > HIGHEST_HIGH_HALF) {
    return err(
      createFault(Diagnostics.LogPositionMalformed, { text }, { step: 'logPosition.parse' }),
    );
  }
  return ok(toLogPosition(high * LOW_HALF + low));
}
