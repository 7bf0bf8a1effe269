import { expect, test } from 'vitest';
import {
  toFailureDomain,
  toGroupId,
  toInstanceId,
  toLogPosition,
  toTerm,
} from '../../common/ids/index.js';
import { InstanceRole, type Announcement } from '../../decisions/control/index.js';
import { RecentAnnouncements } from './recentAnnouncements.js';

function createAnnouncement(name: string): Announcement {
  return {
    ...{ group: toGroupId('g'), instance: toInstanceId(name), domain: toFailureDomain('north') },
    ...{ address: '10.0.0.1:1', platform: '', role: InstanceRole.Replica, term: toTerm(0) },
    ...{ position: toLogPosition(0), slots: 1, connectionLimit: 1, leaving: false },
  };
}

test('the number of stored instances is limited and no instance that keeps reporting is evicted', () => {
  const announcements = new RecentAnnouncements();
  let changeCount = 0;
  for (let count = 0; count < 100_000; count += 1) {
    announcements.add(createAnnouncement(`odd-${count}`), count);
    if (count % 100 === 0) {
      changeCount += announcements.add(createAnnouncement('a'), count) ? 1 : 0;
    }
  }
  const names = announcements.getForwarded(0).map(({ announcement }) => announcement.instance);
  expect(names.length).toBeLessThanOrEqual(5000);
  expect(names).toContain('a');
  expect(changeCount).toBe(1);
});
