import type { Announcement, ForwardedAnnouncement } from '../../decisions/control/index.js';

interface ReceivedAnnouncement {
  readonly announcement: Announcement;
  readonly receivedMs: number;
}

/** Instances that one host remembers: more than any fleet has, as another writer may name ever new ones. */
const MAXIMUM_INSTANCES = 5000;

/** The newest announcement of each instance, until the control leader has it. */
export class RecentAnnouncements {
  private readonly received = new Map<string, ReceivedAnnouncement>();
  /** What each instance last said of its role and whether it leaves. */
  private readonly contents = new Map<string, string>();

  /** Keeps an announcement; whether it says something that control should know at once. */
  add(announcement: Announcement, nowMs: number): boolean {
    const key = `${announcement.group}/${announcement.instance}`;
    const { role, leaving, startedMs } = announcement;
    const content = `${role} ${leaving} ${startedMs ?? ''}`;
    const isChanged = this.contents.get(key) !== content;
    // The order of the map is that of the last report, so that the ones that go on reporting stay.
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

  /** What is to go with the next renewal. */
  getForwarded(nowMs: number): readonly ForwardedAnnouncement[] {
    return [...this.received.values()].map(({ announcement, receivedMs }) => ({
      announcement,
      ageMs: nowMs - receivedMs,
    }));
  }

  /** Forgets what an answered renewal carried. */
  removeUntil(sentMs: number): void {
    for (const [key, { receivedMs }] of this.received) {
      if (receivedMs <= sentMs) {
        this.received.delete(key);
      }
    }
  }
}
