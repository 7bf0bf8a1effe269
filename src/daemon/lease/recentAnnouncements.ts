import {
  isSentBefore,
  type Announcement,
  type ForwardedAnnouncement,
} from '../../decisions/control/index.js';

interface ReceivedAnnouncement {
  readonly announcement: Announcement;
  readonly receivedMs: number;
}

/**
 * Maximum number of instances stored: more than any fleet has; bounds the memory if a sender keeps
 * naming new ones.
 */
const MAXIMUM_INSTANCES = 5000;

/** Newest announcement of each instance, until the control leader has received it. */
export class RecentAnnouncements {
  private readonly received = new Map<string, ReceivedAnnouncement>();
  /** Role, departure flag and start time that each instance announced last. */
  private readonly contents = new Map<string, string>();

  /**
   * Stores an announcement; returns whether it reports a change that control has to receive
   * immediately. Drops one that was sent before an announcement that waits to be forwarded.
   */
  add(announcement: Announcement, nowMs: number): boolean {
    const key = `${announcement.group}/${announcement.instance}`;
    const waiting = this.received.get(key);
    if (waiting !== undefined && isSentBefore(announcement, waiting.announcement)) {
      return false;
    }
    const { role, leaving, startedMs } = announcement;
    const content = `${role} ${leaving} ${startedMs ?? ''}`;
    const isChanged = this.contents.get(key) !== content;
    // The map is ordered by the time of the last report, so that instances that keep reporting
    // stay.
    this.contents.delete(key);
    this.contents.set(key, content);
    this.evictLeastRecent();
    this.received.set(key, { announcement, receivedMs: nowMs });
    return isChanged;
  }

  private evictLeastRecent(): void {
    const leastRecent = this.contents.keys().next();
    if (this.contents.size > MAXIMUM_INSTANCES && leastRecent.done !== true) {
      this.contents.delete(leastRecent.value);
      this.received.delete(leastRecent.value);
    }
  }

  /** Returns the announcements to be sent with the next renewal. */
  getForwarded(nowMs: number): readonly ForwardedAnnouncement[] {
    return [...this.received.values()].map(({ announcement, receivedMs }) => ({
      announcement,
      ageMs: nowMs - receivedMs,
    }));
  }

  /** Removes the announcements that an answered renewal contained. */
  removeUntil(sentMs: number): void {
    for (const [key, { receivedMs }] of this.received) {
      if (receivedMs <= sentMs) {
        this.received.delete(key);
      }
    }
  }
}
