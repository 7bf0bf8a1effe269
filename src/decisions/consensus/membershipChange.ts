import type { MemberId } from './memberId.js';
import { isMember, isVoter, type Membership } from './membership.js';

/** The kinds of membership changes. */
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
 * The next change towards the desired voters; undefined once they are reached. New members are
 * added as learners first. A member whose log is lost is removed before a learner is promoted, so
 * that its replacement never enlarges the quorum in between. A member that is only unresponsive
 * remains a voter until the learner is promoted: its disk may come back, and its copy of the log
 * still counts if another member is lost.
 */
export function getNextMembershipChange(
  membership: Membership,
  desired: readonly MemberId[],
  isLogLost: (member: MemberId) => boolean = () => true,
): MembershipChange | undefined {
  const added = desired.find((member) => !isMember(membership, member));
  if (added !== undefined) {
    return { kind: MembershipChangeKind.AddLearner, member: added };
  }
  const removed = [...membership.learners, ...membership.voters].find(
    (member) => !desired.includes(member),
  );
  const promoted = desired.find((member) => !isVoter(membership, member));
  const isLastVoter =
    removed !== undefined && isVoter(membership, removed) && membership.voters.length === 1;
  const isKeptUntilPromotion =
    removed !== undefined &&
    promoted !== undefined &&
    membership.voters.length <= desired.length &&
    isVoter(membership, removed) &&
    !isLogLost(removed);
  if (removed !== undefined && !isLastVoter && !isKeptUntilPromotion) {
    return { kind: MembershipChangeKind.RemoveMember, member: removed };
  }
  return promoted === undefined
    ? undefined
    : { kind: MembershipChangeKind.PromoteLearner, member: promoted };
}
