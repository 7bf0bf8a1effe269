import type { Announcement, ForwardedAnnouncement } from '../../decisions/control/index.js';

interface ReceivedAnnouncement {
  readonly announcement: Announcement;
  readonly receivedMs: number;
}

/** The newest announcement of each instance, until the control leader has it. */
export class RecentAnnouncements {
  private readonly received = new Map<string, ReceivedAnnouncement>();

  add(announcement: Announcement, nowMs: number): void {
    const key = `${announcement.group}/${announcement.instance}`;
    this.received.set(key, { announcement, receivedMs: nowMs });
  }

  /** What is to go with the next renewal. */
  getForwarded(nowMs: number): readonly ForwardedAnnouncement[] {
    return [...this.received.values()].map(({ announcement, receivedMs }) => ({
      announcement,
      ageMs: nowMs - receivedMs,
    }));
  }

  /** Forgets what an answered renewal carried. */
  forgetUntil(sentMs: number): void {
    for (const [key, { receivedMs }] of this.received) {
      if (receivedMs <= sentMs) {
        this.received.delete(key);
      }
    }
  }
}
