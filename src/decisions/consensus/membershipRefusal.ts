import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { MemberCore } from './memberCore.js';
import { isMember, isVoter } from './membership.js';
import { MembershipChangeKind, type MembershipChange } from './membershipChange.js';
import type { Replication } from './replication.js';

/**
 * The fault with which a leader refuses a membership change now; undefined when the change may be
 * appended.
 */
export function getMembershipRefusal<Command>(
  core: MemberCore<Command>,
  replication: Replication<Command>,
  change: MembershipChange,
): Fault | undefined {
  const { membership, membershipIndex } = core.log;
  const { member } = change;
  const context = { step: 'consensus.changeMembership', peer: member };
  if (membershipIndex > core.commitIndex || core.log.getTerm(core.commitIndex) !== core.term) {
    return createFault(Diagnostics.MembershipChangePending, {}, context);
  }
  const isAddition = change.kind === MembershipChangeKind.AddLearner;
  if (isMember(membership, member) === isAddition) {
    const diagnostic = isAddition ? Diagnostics.MemberKnown : Diagnostics.MemberUnknown;
    return createFault(diagnostic, { member }, context);
  }
  if (change.kind === MembershipChangeKind.PromoteLearner) {
    if (isVoter(membership, member)) {
      return createFault(Diagnostics.MemberKnown, { member }, context);
    }
    return isCaughtUp(core, replication, change)
      ? undefined
      : createFault(Diagnostics.LearnerBehind, { member }, context);
  }
  const removesLastVoter = isVoter(membership, member) && membership.voters.length === 1;
  return removesLastVoter ? createFault(Diagnostics.LastVoter, { member }, context) : undefined;
}

function isCaughtUp<Command>(
  core: MemberCore<Command>,
  replication: Replication<Command>,
  change: MembershipChange,
): boolean {
  const progress = replication.getProgress(change.member);
  if (progress?.hasResponded !== true) {
    return false;
  }
  const lag = core.log.lastIndex - progress.matchIndex;
  const sinceResponseMs = core.nowMs - progress.lastResponseMs;
  const { promotionLagEntries, maximumElectionTimeoutMs } = core.settings;
  return lag <= promotionLagEntries && sinceResponseMs < maximumElectionTimeoutMs;
}
