import type { Announcement } from './announcement.js';

/** An announcement as a daemon passes it on. */
export interface ForwardedAnnouncement {
  readonly announcement: Announcement;
  /** Time since the daemon received it, in milliseconds. */
  readonly ageMs: number;
}
