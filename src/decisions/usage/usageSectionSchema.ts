import { z } from 'zod';
import type { AccountId, WindowNumber } from '../../common/ids/index.js';
import type { UsageGrant, UsageSection } from './usageSection.js';
import type { WindowCounts } from './windowCounts.js';

const MAXIMUM_ACCOUNT_LENGTH = 1024;
/** Far more accounts than one host serves in a window. */
const MAXIMUM_ACCOUNTS = 100_000;
/** Far more windows than a host keeps. */
const MAXIMUM_WINDOWS = 256;

const windowSchema = z
  .int()
  .min(0)
  .transform((value) => value as WindowNumber);
const countSchema = z.int().min(0);
const accountSchema = z
  .string()
  .min(1)
  .max(MAXIMUM_ACCOUNT_LENGTH)
  .transform((value) => value as AccountId);

const windowCountsSchema = z.object({
  window: windowSchema,
  counts: z.array(z.tuple([accountSchema, countSchema])).max(MAXIMUM_ACCOUNTS),
});

const indexSchema = z.int().min(0).max(MAXIMUM_ACCOUNTS);

const indexedCountsSchema = z.object({
  window: windowSchema,
  counts: z
    .array(countSchema)
    .max(2 * MAXIMUM_ACCOUNTS)
    .refine(({ length }) => length % 2 === 0),
});

const sectionSchema = z.object({
  number: countSchema,
  wallMs: z.number(),
  base: countSchema.optional(),
  since: windowSchema.optional(),
  through: windowSchema.optional(),
  windows: z.array(indexedCountsSchema).max(MAXIMUM_WINDOWS),
  names: z.array(z.tuple([indexSchema, accountSchema])).max(MAXIMUM_ACCOUNTS),
});

const grantSchema = z.object({
  number: countSchema,
  term: countSchema,
  fleetMs: z.number().optional(),
  settled: windowSchema.optional(),
  isUnknown: z.boolean().optional(),
});

/** Validates the usage part of a renewal; undefined if it is absent or invalid. */
export function parseUsageSection(value: unknown): UsageSection | undefined {
  const { success, data } = sectionSchema.safeParse(value);
  return success ? removeAbsent(data) : undefined;
}

/** Validates the usage part of a grant; undefined if it is absent or invalid. */
export function parseUsageGrant(value: unknown): UsageGrant | undefined {
  const { success, data } = grantSchema.safeParse(value);
  return success ? removeAbsent(data) : undefined;
}

/** Validates the counts of a window; undefined if they are invalid or name an account twice. */
export function parseWindowCounts(value: unknown): WindowCounts | undefined {
  const { success, data } = windowCountsSchema.safeParse(value);
  const accounts = new Set(data?.counts.map(([account]) => account));
  return success && accounts.size === data.counts.length ? data : undefined;
}

/** Omits the fields that are present but undefined, which a decoder may create. */
function removeAbsent<Value extends object>(value: Value): Present<Value> {
  const entries = Object.entries(value).filter(([, field]) => field !== undefined);
  return Object.fromEntries(entries) as Present<Value>;
}

type Present<Value> = { [Key in keyof Value]: Exclude<Value[Key], undefined> };
