import type { MemberId } from './memberId.js';
import { isMember, isVoter, type Membership } from './membership.js';

/** What a membership change does with its member. */
export enum MembershipChangeKind {
  AddLearner = 'add-learner',
  PromoteLearner = 'promote-learner',
  RemoveMember = 'remove-member',
}

/** A change of a single member. */
export interface MembershipChange {
  readonly kind: MembershipChangeKind;
  readonly member: MemberId;
}

/** The membership after the change. */
export function applyMembershipChange(
  membership: Membership,
  change: MembershipChange,
): Membership {
  const voters = membership.voters.filter((voter) => voter !== change.member);
  const learners = membership.learners.filter((learner) => learner !== change.member);
  switch (change.kind) {
    case MembershipChangeKind.AddLearner:
      return { voters, learners: [...learners, change.member] };
    case MembershipChangeKind.PromoteLearner:
      return { voters: [...voters, change.member], learners };
    case MembershipChangeKind.RemoveMember:
      return { voters, learners };
  }
}

/**
 * The next change on the way to the desired voters, or undefined when they have been reached.
 * New members learn first; then a member to be removed goes, then a learner is promoted, so
 * that a replacement never enlarges the quorum while the replaced member is down.
 */
export function getNextMembershipChange(
  membership: Membership,
  desired: readonly MemberId[],
): MembershipChange | undefined {
  const added = desired.find((member) => !isMember(membership, member));
  if (added !== undefined) {
    return { kind: MembershipChangeKind.AddLearner, member: added };
  }
  const removed = [...membership.learners, ...membership.voters].find(
    (member) => !desired.includes(member),
  );
  const promoted = desired.find((member) => !isVoter(membership, member));
  const removesLastVoter = removed !== undefined && membership.voters.length === 1;
  if (removed !== undefined && !(removesLastVoter && isVoter(membership, removed))) {
    return { kind: MembershipChangeKind.RemoveMember, member: removed };
  }
  return promoted === undefined
    ? undefined
    : { kind: MembershipChangeKind.PromoteLearner, member: promoted };
}
