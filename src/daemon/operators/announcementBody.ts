import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import {
  toFailureDomain,
  toGroupId,
  toInstanceId,
  toLogPosition,
  toTerm,
} from '../../common/ids/index.js';
import { addressSchema, nameSchema } from '../../common/settings/index.js';
import { InstanceRole, type Announcement } from '../../decisions/control/index.js';

const MAXIMUM_SLOTS = 100_000;

const announcementSchema = z.object({
  group: nameSchema.transform(toGroupId),
  instance: nameSchema.transform(toInstanceId),
  domain: nameSchema.transform(toFailureDomain),
  address: addressSchema,
  platform: addressSchema,
  role: z.enum(InstanceRole),
  term: z.int().min(0).transform(toTerm),
  position: z.int().min(0).transform(toLogPosition),
  slots: z.int().min(1).max(MAXIMUM_SLOTS),
  connectionLimit: z.int().min(1).max(MAXIMUM_SLOTS),
  leaving: z.boolean(),
});

/** Checks a backend server's announcement; fields that are not known are ignored. */
export function tryParseAnnouncement(body: unknown): Result<Announcement, Fault> {
  const checked = announcementSchema.safeParse(body);
  if (checked.success) {
    return ok(checked.data);
  }
  const problem = checked.error.issues
    .map((issue) => `${issue.path.join('.')}: ${issue.message}`)
    .join('; ');
  return err(createFault(Diagnostics.RequestInvalid, { problem }, { step: 'announcement.parse' }));
}
