import { z } from 'zod';
import { NAME_PATTERN } from '../../common/names.js';
import { isPeerAddress } from '../../common/settings/address.js';
import { InstanceRole, type Announcement } from './announcement.js';

/** Maximum number of statements that one instance may run concurrently. */
export const MAXIMUM_SLOTS = 100_000;
/** Maximum number of connections that one instance may accept. */
export const MAXIMUM_CONNECTION_LIMIT = 1_000_000;
/** Longest time after its start for which an instance may be slow. */
export const MAXIMUM_WARMUP_MS = 86_400_000;
/** Latest time in Unix milliseconds that a JavaScript date can represent. */
const MAXIMUM_TIME_MS = 8_640_000_000_000_000;
/**
 * Maximum sequence number of an announcement. Not reached within thousands of years of one
 * announcement per millisecond; higher values are invalid.
 */
const MAXIMUM_SEQUENCE = 2 ** 48;

const name = z.string().regex(NAME_PATTERN, 'expected a name');
const address = z
  .string()
  .refine(isPeerAddress, 'expected IP:PORT with an IP number, such as 10.0.1.1:7400');

/**
 * Schema of announcements from request bodies and of those that other daemons forward. Unknown
 * fields are dropped.
 */
export const announcementSchema = z.object({
  group: name,
  instance: name,
  domain: name,
  address,
  /** Empty where the platform accepts commands at an address of its own. */
  platform: address.or(z.literal('')),
  role: z.enum(InstanceRole),
  term: z.int().min(0),
  position: z.int().min(0),
  slots: z.int().min(1).max(MAXIMUM_SLOTS),
  connectionLimit: z.int().min(1).max(MAXIMUM_CONNECTION_LIMIT),
  leaving: z.boolean(),
  startedMs: z.int().min(0).max(MAXIMUM_TIME_MS).optional(),
  remainingWarmupMs: z.number().min(0).max(MAXIMUM_WARMUP_MS).optional(),
  sequence: z.int().min(0).max(MAXIMUM_SEQUENCE).optional(),
});

/** Parses an untrusted announcement; returns undefined when it does not match the schema. */
export function parseAnnouncement(value: unknown): Announcement | undefined {
  const parsed = announcementSchema.safeParse(value);
  // The schema checks the constraints that the branded types stand for.
  return parsed.success ? (parsed.data as unknown as Announcement) : undefined;
}

/** Whether a text is a valid name of a host, failure domain, group or instance. */
export function isName(text: string): boolean {
  return name.safeParse(text).success;
}
