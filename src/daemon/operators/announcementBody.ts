import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import {
  announcementSchema,
  MAXIMUM_SLOTS,
  type Announcement,
} from '../../decisions/control/index.js';

const bodySchema = announcementSchema.omit({ startedMs: true, sequence: true }).extend({
  platform: announcementSchema.shape.address,
  connectionLimit: announcementSchema.shape.connectionLimit.max(MAXIMUM_SLOTS),
});

/** Validates a backend server's announcement; unknown fields are ignored. */
export function tryParseAnnouncement(body: unknown): Result<Announcement, Fault> {
  const checked = bodySchema.safeParse(body);
  if (checked.success) {
    // The schema has checked the conditions of the branded types.
    return ok(checked.data as unknown as Announcement);
  }
  const problem = checked.error.issues
    .map((issue) => `${issue.path.join('.')}: ${issue.message}`)
    .join('; ');
  return err(createFault(Diagnostics.RequestInvalid, { problem }, { step: 'announcement.parse' }));
}
