import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toFailureDomain, toHostId } from '../../../common/ids/index.js';
import type { ControlMember } from '../../tickets/index.js';
import {
  createMemberPlanSettings,
  DEFAULT_MEMBER_PLAN_SETTINGS,
  planMembers,
  type ObservedMember,
} from './memberPlan.js';

const NOW_MS = 100_000;
const { replaceAfterMs, removeAfterMs, minimumMembers } = DEFAULT_MEMBER_PLAN_SETTINGS;

function createMember(index: number, incarnation = ''): ControlMember {
  return {
    member: `10.0.0.${index}${incarnation}`,
    host: toHostId(`control-${index}`),
    domain: toFailureDomain('a'),
    address: `10.0.0.${index}:7560`,
  };
}

function observe(member: ControlMember, unresponsiveMs = 0): ObservedMember {
  return { member, lastSeenMs: NOW_MS - unresponsiveMs };
}

function plan(present: readonly ControlMember[], observed: readonly ObservedMember[], sinceMs = 0) {
  return planMembers({ present, observed, sinceMs, nowMs: NOW_MS })?.map(({ member }) => member);
}

const [one, two, three, four] = [1, 2, 3, 4].map((index) => createMember(index)) as [
  ControlMember,
  ControlMember,
  ControlMember,
  ControlMember,
];
const initialMembers = [one, two, three];

test('hosts that request membership are added one at a time, up to an odd number of members', () => {
  const five = createMember(5);
  const observed = [...initialMembers, four, five].map((each) => observe(each));
  const next = [...initialMembers, four].map(({ member }) => member);
  expect(plan(initialMembers, observed)).toEqual(next);
  expect(plan([...initialMembers, four], observed)).toEqual([...next, five.member]);
  expect(plan(initialMembers, observed.slice(0, 4))).toBeUndefined();
});

test('a host that lost its disk replaces its earlier member identity at once', () => {
  const wiped = createMember(2, '.life-1');
  const observed = [observe(one), observe(two, 100), observe(three), observe(wiped)];
  expect(plan(initialMembers, observed)).toEqual([one.member, three.member, wiped.member]);
});

test('a new host replaces an unresponsive member', () => {
  const observed = [observe(one), observe(two), observe(three, replaceAfterMs), observe(four)];
  expect(plan(initialMembers, observed)).toEqual([one.member, two.member, four.member]);
});

// Guards against a spare host that replaces a member although both were cut off at the same time.
test('a host that has fallen silent with a member does not replace it', () => {
  const silent = [1700, 1900, replaceAfterMs - 1, replaceAfterMs];
  for (const spareMs of silent) {
    const observed = [
      observe(one),
      observe(two),
      observe(three, replaceAfterMs),
      observe(four, spareMs),
    ];
    expect(plan(initialMembers, observed)).toBeUndefined();
  }
});

test('a new leader replaces no member before all have had time to send a request', () => {
  const observed = [observe(one), observe(four)];
  expect(plan(initialMembers, observed, NOW_MS - replaceAfterMs + 1)).toBeUndefined();
  expect(plan(initialMembers, observed, NOW_MS - replaceAfterMs)).toContain(four.member);
});

test('an unresponsive member without a replacement is removed only while enough others respond', () => {
  const members = [...initialMembers, four];
  const observed = [observe(one), observe(two), observe(three), observe(four, removeAfterMs)];
  expect(plan(members, observed)).toEqual(initialMembers.map(({ member }) => member));
  expect(
    plan(initialMembers, [observe(one), observe(two), observe(three, removeAfterMs)]),
  ).toBeUndefined();
});

test('a quorum that must tolerate two lost disks keeps five members while one is unresponsive', () => {
  const members = [...initialMembers, four, createMember(5)];
  const observed = members.map((member, index) => observe(member, index === 4 ? removeAfterMs : 0));
  const input = { present: members, observed, sinceMs: 0, nowMs: NOW_MS };
  expect(planMembers(input, createMemberPlanSettings(2))).toBeUndefined();
  expect(planMembers(input, createMemberPlanSettings(1))).toHaveLength(4);
});

test('plans converge, drop at most one member at a time and keep the required number of members', () => {
  const unresponsiveTimes = fc.array(fc.nat({ max: 2 * removeAfterMs }), {
    minLength: 5,
    maxLength: 9,
  });
  fc.assert(
    fc.property(unresponsiveTimes, fc.integer({ min: 3, max: 5 }), (each, size) => {
      const all = each.map((unresponsiveMs, index) => observe(createMember(index), unresponsiveMs));
      let present: readonly ControlMember[] = all.slice(0, size).map(({ member }) => member);
      for (let round = 0; round < 40; round += 1) {
        const next = planMembers({ present, observed: all, sinceMs: 0, nowMs: NOW_MS });
        if (next === undefined) {
          return;
        }
        const remaining = present.filter((member) =>
          next.some((other) => other.member === member.member),
        );
        expect(present.length - remaining.length).toBeLessThanOrEqual(1);
        expect(next.length).toBeGreaterThanOrEqual(Math.min(minimumMembers, present.length));
        present = next;
      }
      throw new Error('the plan did not converge');
    }),
    { seed: 7, numRuns: 300 },
  );
});
