import { toFailureDomain, toGroupId, toInstanceId } from '../../src/common/ids/index.js';
import type { Announcement } from '../../src/decisions/control/index.js';
import type { StandinSettings } from '../settings/index.js';

/** What an announcement says besides the instance's settings. */
export type AnnouncedState = Pick<
  Announcement,
  'address' | 'platform' | 'role' | 'term' | 'position' | 'leaving'
>;

/** Creates an announcement. */
export function createAnnouncement(settings: StandinSettings, state: AnnouncedState): Announcement {
  return {
    group: toGroupId(settings.group),
    instance: toInstanceId(settings.instance),
    domain: toFailureDomain(settings.domain),
    slots: settings.slots,
    connectionLimit: settings.connection_limit,
    ...state,
  };
}
