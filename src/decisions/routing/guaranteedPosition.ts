import { toLogPosition, type LogPosition } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';

/**
 * A position that an acknowledged write certainly reaches: `before` is the furthest place that the
 * primary was seen at before the write was sent, `answered` the one that came with its answer. That
 * may include later writes of others which nobody acknowledged, so the write's own position is only
 * known to lie beyond `before`. Undefined when the places aren't of one term.
 */
export function getCertainPosition(
  before: SessionPosition | undefined,
  answered: SessionPosition,
): LogPosition | undefined {
  return before?.term === answered.term
    ? toLogPosition(Math.min(before.position + 1, answered.position))
    : undefined;
}
