import { z } from 'zod';
import { parseUsageSection } from '../usage/index.js';
import { isPeerAddress } from '../../common/settings/address.js';
import { isName, parseAnnouncement } from './announcementSchema.js';
import type { ForwardedAnnouncement } from './forwardedAnnouncement.js';
import type { Departure } from './departure.js';
import type { LeaseRenewal } from './leaseRenewal.js';
import { parseWorkReport } from './workReportSchema.js';

const MAXIMUM_IDENTITY_LENGTH = 256;

const memberSchema = z.object({
  member: z.string().min(1).max(MAXIMUM_IDENTITY_LENGTH),
  host: z.string().refine(isName),
  domain: z.string().refine(isName),
  address: z.string().refine(isPeerAddress),
});

const departureSchema = z.object({
  instance: z.string().refine(isName),
  startedMs: z.int().min(0).optional(),
});

const forwardedAnnouncementSchema = z.object({
  ageMs: z.number().min(0),
  announcement: z.unknown(),
});

/**
 * Drops invalid entries of a renewal that would be stored in the control state. The other
 * entries are kept: a host that forwards an invalid entry keeps its lease.
 */
export function dropInvalidEntries(renewal: LeaseRenewal): LeaseRenewal {
  const { member, departures, usage: receivedUsage, work: receivedWork, ...rest } = renewal;
  const usage = parseUsageSection(receivedUsage);
  const work = parseWorkReport(receivedWork);
  const isValidMember = member !== undefined && memberSchema.safeParse(member).success;
  return {
    ...rest,
    announcements: renewal.announcements
      .map((each) => parseForwardedAnnouncement(each))
      .filter((each) => each !== undefined),
    ...(isValidMember ? { member } : {}),
    ...(usage === undefined ? {} : { usage }),
    ...(work === undefined ? {} : { work }),
    ...(departures === undefined ? {} : { departures: filterDepartures(departures) }),
  };
}

function parseForwardedAnnouncement(value: unknown): ForwardedAnnouncement | undefined {
  const parsed = forwardedAnnouncementSchema.safeParse(value);
  const announcement = parsed.success ? parseAnnouncement(parsed.data.announcement) : undefined;
  return parsed.success && announcement !== undefined
    ? { announcement, ageMs: parsed.data.ageMs }
    : undefined;
}

function filterDepartures(values: readonly Departure[]): Departure[] {
  return values.filter((each) => departureSchema.safeParse(each).success);
}
