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

function createAnnouncement(name: string, fields: Partial<Announcement> = {}): Announcement {
  return {
    ...{ group: toGroupId('g'), instance: toInstanceId(name), domain: toFailureDomain('north') },
    ...{ address: '10.0.0.1:1', platform: '', role: InstanceRole.Replica, term: toTerm(0) },
    ...{ position: toLogPosition(0), slots: 1, connectionLimit: 1, leaving: false, ...fields },
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

// Guards against a heartbeat that waited in a socket and replaces the report that its instance leaves.
test('an announcement that was sent before one that waits to be forwarded is dropped', () => {
  const announcements = new RecentAnnouncements();
  const [startedMs, sequence] = [7, 4];
  const leaving = createAnnouncement('a', { startedMs, sequence, leaving: true });
  announcements.add(leaving, 0);
  for (const earlier of [
    { startedMs, sequence: 3 },
    { startedMs: 6, sequence: 9 },
  ]) {
    expect(announcements.add(createAnnouncement('a', earlier), 1)).toBe(false);
  }
  expect(announcements.getForwarded(1)).toEqual([{ announcement: leaving, ageMs: 1 }]);
  const restarted = createAnnouncement('a', { startedMs: 8, sequence: 1 });
  expect(announcements.add(restarted, 2)).toBe(true);
  expect(announcements.getForwarded(2)).toEqual([{ announcement: restarted, ageMs: 0 }]);
});
