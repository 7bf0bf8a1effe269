import type { Announcement } from './announcement.js';

/**
 * Whether an announcement was sent before another one of the same instance, so that it was delayed
 * on its way: it is of an earlier incarnation, has a lower sequence number or an earlier position.
 */
export function isSentBefore(received: Announcement, known: Announcement): boolean {
  const startedMs = (received.startedMs ?? 0) - (known.startedMs ?? 0);
  const hasLowerSequence = (received.sequence ?? 0) < (known.sequence ?? 0);
  return (
    startedMs < 0 ||
    (startedMs === 0 && hasLowerSequence) ||
    received.term < known.term ||
    (received.term === known.term && received.position < known.position)
  );
}
