import { expect, test } from 'vitest';
import { toFailureDomain, toHostId } from '../../../common/ids/index.js';
import {
  applyMembershipChange,
  getNextMembershipChange,
  getQuorumSize,
  toMemberId,
  type Membership,
} from '../../consensus/index.js';
import type { ControlMember } from '../../tickets/index.js';
import { createMemberPlanSettings, getRequiredMemberCount, planMembers } from './memberPlan.js';

const NOW_MS = 100_000;
const UNRESPONSIVE_MS = 2000;
const ROUNDS = 20;

function createMember(index: number): ControlMember {
  return {
    member: `10.0.0.${index}`,
    host: toHostId(`control-${index}`),
    domain: toFailureDomain('a'),
    address: `10.0.0.${index}:7560`,
  };
}

/**
 * Returns the memberships that the quorum passes through while the last member is unresponsive and
 * a spare host requests membership.
 */
function replaceUnresponsiveMember(losses: number): Membership[] {
  const count = getRequiredMemberCount(losses);
  const all = Array.from({ length: count + 1 }, (_, index) => createMember(index));
  let present: readonly ControlMember[] = all.slice(0, count);
  const observed = all.map((member, index) => ({
    member,
    lastSeenMs: NOW_MS - (index === count - 1 ? UNRESPONSIVE_MS : 0),
  }));
  const settings = createMemberPlanSettings(losses);
  let membership: Membership = {
    voters: present.map(({ member }) => toMemberId(member)),
    learners: [],
  };
  const memberships = [membership];
  for (let round = 0; round < ROUNDS; round += 1) {
    present = planMembers({ present, observed, sinceMs: 0, nowMs: NOW_MS }, settings) ?? present;
    const targetMembers = present.map(({ member }) => toMemberId(member));
    const change = getNextMembershipChange(membership, targetMembers, () => false);
    if (change !== undefined) {
      membership = applyMembershipChange(membership, change);
      memberships.push(membership);
    }
  }
  return memberships;
}

/**
 * The process of the unresponsive member was killed, frozen or cut off: its disk is intact and
 * returns with it.
 */
test.each([1, 2])(
  'while an unresponsive member is replaced, losing %i disks at once leaves a quorum once all others are back',
  (losses) => {
    const memberships = replaceUnresponsiveMember(losses);
    expect(memberships.length).toBeGreaterThan(2);
    for (const membership of memberships) {
      const left = membership.voters.length - losses;
      expect(left, membership.voters.join(' ')).toBeGreaterThanOrEqual(getQuorumSize(membership));
    }
  },
);
