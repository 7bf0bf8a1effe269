import { toLogPosition, type LogPosition } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';

/**
 * Returns a position that an acknowledged write is guaranteed to reach. `before` is the furthest
 * position at which the primary was observed before the write was sent, `answered` the position
 * that came with its answer. The latter may include later, unacknowledged writes of other requests,
 * so the write's own position is only known to be after `before`. Undefined if the terms differ.
 */
export function getGuaranteedPosition(
  before: SessionPosition | undefined,
  answered: SessionPosition,
): LogPosition | undefined {
  return before?.term === answered.term
    ? toLogPosition(Math.min(before.position + 1, answered.position))
    : undefined;
}
