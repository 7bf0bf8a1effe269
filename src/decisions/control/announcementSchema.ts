import { z } from 'zod';
import { isPeerAddress } from '../../common/settings/address.js';
import { InstanceRole, type Announcement } from './announcement.js';

/** Statements that one instance runs at once, at most. */
export const MAXIMUM_SLOTS = 100_000;
/** Connections that one instance accepts, at most. */
export const MAXIMUM_CONNECTION_LIMIT = 1_000_000;
/** Latest time that a Unix clock in milliseconds is shown for. */
const MAXIMUM_TIME_MS = 8_640_000_000_000_000;
/** An announcement a millisecond for thousands of years; what is higher was never counted. */
const MAXIMUM_SEQUENCE = 2 ** 48;

const name = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'expected a name');
const address = z
  .string()
  .refine(isPeerAddress, 'expected IP:PORT with an IP number, such as 10.0.1.1:7400');

/**
 * The schema of what a backend server announces, whichever way it comes: bodies of requests and what
 * other daemons pass on. Fields that are not known are dropped.
 */
export const announcementSchema = z.object({
  group: name,
  instance: name,
  domain: name,
  address,
  /** Empty where the platform takes orders at an address of its own. */
  platform: address.or(z.literal('')),
  role: z.enum(InstanceRole),
  term: z.int().min(0),
  position: z.int().min(0),
  slots: z.int().min(1).max(MAXIMUM_SLOTS),
  connectionLimit: z.int().min(1).max(MAXIMUM_CONNECTION_LIMIT),
  leaving: z.boolean(),
  startedMs: z.int().min(0).max(MAXIMUM_TIME_MS).optional(),
  sequence: z.int().min(0).max(MAXIMUM_SEQUENCE).optional(),
});

/** Reads an announcement from outside; undefined for one that names no instance to use. */
export function readAnnouncement(value: unknown): Announcement | undefined {
  const parsed = announcementSchema.safeParse(value);
  // The schema checks what the branded types promise.
  return parsed.success ? (parsed.data as unknown as Announcement) : undefined;
}

/** Whether a text names a host, failure domain, group or instance. */
export function isName(text: string): boolean {
  return name.safeParse(text).success;
}
