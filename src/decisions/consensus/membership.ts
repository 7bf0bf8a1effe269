import type { MemberId } from './memberId.js';

/** The members that replicate the log: voters form quorums, learners only receive entries. */
export interface Membership {
  readonly voters: readonly MemberId[];
  readonly learners: readonly MemberId[];
}

/** The membership of a member that has not received one yet. */
export const emptyMembership: Membership = { voters: [], learners: [] };

/** Whether the member votes and counts towards quorums. */
export function isVoter(membership: Membership, member: MemberId): boolean {
  return membership.voters.includes(member);
}

/** Whether the member is a voter or a learner. */
export function isMember(membership: Membership, member: MemberId): boolean {
  return isVoter(membership, member) || membership.learners.includes(member);
}

/** The number of voters that form a quorum. */
export function getQuorumSize(membership: Membership): number {
  return Math.floor(membership.voters.length / 2) + 1;
}

/** Whether the given members include a quorum of the voters. */
export function hasQuorum(membership: Membership, members: ReadonlySet<MemberId>): boolean {
  const count = membership.voters.filter((voter) => members.has(voter)).length;
  return membership.voters.length > 0 && count >= getQuorumSize(membership);
}

/** All members but the given one. */
export function getPeers(membership: Membership, self: MemberId): readonly MemberId[] {
  return [...membership.voters, ...membership.learners].filter((member) => member !== self);
}

/** The highest value that a quorum of the voters has reached; undefined without voters. */
export function getQuorumValue(
  membership: Membership,
  getValue: (voter: MemberId) => number,
): number | undefined {
  const values = membership.voters.map(getValue).sort((left, right) => right - left);
  return values[getQuorumSize(membership) - 1];
}
