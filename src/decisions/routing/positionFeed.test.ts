import { expect, test } from 'vitest';
import { toLogPosition, toTerm } from '../../common/ids/index.js';
import { PositionFeed } from './positionFeed.js';

const TERM = toTerm(3);

test('a query sent or answered before a suspension is not used for reads after it', () => {
  const feed = new PositionFeed();
  feed.setTimeline(TERM);
  const first = feed.startQuery(1000) ?? 0;
  expect(feed.recordAnswer(first, { term: TERM, position: toLogPosition(7) })).toBe(true);
  const second = feed.startQuery(1300) ?? 0;
  expect(feed.getPositionAt(900)).toBe(7);
  feed.setSuspensions(1);
  expect(feed.getPositionAt(900)).toBeUndefined();
  expect(feed.recordAnswer(second, { term: TERM, position: toLogPosition(8) })).toBe(false);
  const third = feed.startQuery(1301) ?? 0;
  expect(feed.recordAnswer(third, { term: TERM, position: toLogPosition(9) })).toBe(true);
  expect(feed.getPositionAt(1200)).toBe(9);
});
