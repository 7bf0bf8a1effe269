import { z } from 'zod';
import type { AccountId, GroupId, InstanceId } from '../../common/ids/index.js';
import type { WorkReport } from './workReport.js';

const MAXIMUM_NAME_LENGTH = 1024;
/** Far more resources than a host puts into one report. */
const MAXIMUM_RESOURCES = 1000;

/** Any number: the control leader counts those that are out of range. */
const figureSchema = z.custom<number>((value) => typeof value === 'number');

function createNameSchema<Id extends string>() {
  return z
    .string()
    .min(1)
    .max(MAXIMUM_NAME_LENGTH)
    .transform((value) => value as Id);
}

const groupSchema = createNameSchema<GroupId>();

const workReportSchema = z.object({
  processorShare: figureSchema.optional(),
  cores: figureSchema.optional(),
  groups: z.array(z.tuple([groupSchema, figureSchema])).max(MAXIMUM_RESOURCES),
  readers: z
    .array(z.tuple([groupSchema, createNameSchema<InstanceId>(), figureSchema]))
    .max(MAXIMUM_RESOURCES),
  accounts: z.array(z.tuple([createNameSchema<AccountId>(), figureSchema])).max(MAXIMUM_RESOURCES),
});

/** Validates the structure of a work report; undefined if it is absent or invalid. */
export function parseWorkReport(value: unknown): WorkReport | undefined {
  const { success, data } = workReportSchema.safeParse(value);
  if (!success) {
    return undefined;
  }
  const { processorShare, cores, ...report } = data;
  return {
    ...report,
    ...(processorShare === undefined ? {} : { processorShare }),
    ...(cores === undefined ? {} : { cores }),
  };
}
