import type { Announcement } from './announcement.js';

/** Announcement forwarded by the daemon that received it. */
export interface ForwardedAnnouncement {
  readonly announcement: Announcement;
  /** Time since the daemon received the announcement, in milliseconds. */
  readonly ageMs: number;
}
