import { Diagnostics } from '../../common/diagnostics/index.js';
import type { Logger } from '../../common/logging/index.js';
import {
  getNextMembershipChange,
  toMemberId,
  type MemberId,
} from '../../decisions/consensus/index.js';
import {
  CommandKind,
  createMemberPlanSettings,
  getRequiredMemberCount,
  getSubjectRecordName,
  planMembers,
  type ControlState,
  type ObservedMember,
  type SubjectStatus,
} from '../../decisions/control/index.js';
import { SubjectKind, type ControlMember } from '../../decisions/tickets/index.js';
import { getMemberHostName } from './memberAddresses.js';
import type { QuorumMember } from './quorumMember.js';

/** Name of the subject that contains the members of the control quorum. */
export const CONTROL_MEMBERS: string = SubjectKind.ControlMembers;

/**
 * Time in milliseconds for which a new leader, which first has to receive requests from the hosts
 * and admit them, does not report a small quorum.
 */
const REPORT_GRACE_MS = 3000;

/** Settings and state from which the members of the quorum are managed. */
export interface MembershipManagerOptions {
  readonly state: ControlState;
  readonly logger: Logger;
  /**
   * Whether hosts that request membership are admitted, and lost ones replaced, without a ticket.
   */
  readonly admitsMembers: boolean;
  /** Number of control hosts whose disks may be lost at once. */
  readonly losses: number;
  /** Founding members of the quorum, in force until a ticket names others. */
  readonly foundedMembers: SubjectStatus;
}

/**
 * Adjusts the quorum to the members that a ticket names, or to the hosts that join and are lost.
 */
export class MembershipManager {
  private readonly observedMembers = new Map<string, ObservedMember>();
  private leaderSinceMs = 0;
  /** Number of voters last reported as too small; undefined while there are enough voters. */
  private reportedCount: number | undefined;

  constructor(
    private readonly member: QuorumMember,
    private readonly options: MembershipManagerOptions,
  ) {}

  /** Records a host that requests membership or is a member. */
  recordMember(member: ControlMember, nowMs: number): void {
    this.observedMembers.set(member.member, { member, lastSeenMs: nowMs });
  }

  /** Handles a change of the quorum's leader: discards the members observed before. */
  leadershipChanged(nowMs: number): void {
    this.leaderSinceMs = nowMs;
    this.observedMembers.clear();
  }

  /** Plans, adjusts and reports the membership while this host leads and no change is pending. */
  check(nowMs: number): void {
    if (this.member.isLeader && this.member.isMembershipCommitted) {
      this.planMembers(nowMs);
      this.adjustMembership();
      this.reportSize(nowMs);
    }
  }

  /** Reports to operators when the quorum is too small to tolerate the configured losses. */
  private reportSize(nowMs: number): void {
    const { losses, logger } = this.options;
    const count = this.member.membership.voters.length;
    const needed = getRequiredMemberCount(losses);
    const isInGracePeriod = nowMs - this.leaderSinceMs < REPORT_GRACE_MS;
    if (count >= needed || isInGracePeriod || count === this.reportedCount) {
      this.reportedCount = count >= needed ? undefined : this.reportedCount;
      return;
    }
    this.reportedCount = count;
    const values = { count, needed, losses };
    logger.report(Diagnostics.ControlQuorumSmall, values, { step: 'control.members' });
  }

  /** Proposes to admit hosts that request membership and to remove lost ones, if enabled. */
  private planMembers(nowMs: number): void {
    const { state, admitsMembers, foundedMembers, losses, logger } = this.options;
    if (!admitsMembers) {
      return;
    }
    const inForce = state.getControlMembers()?.members;
    const { voters, learners } = this.member.membership;
    const founded =
      foundedMembers.state.kind === SubjectKind.ControlMembers
        ? foundedMembers.state.members.filter(({ member }) => voters.includes(toMemberId(member)))
        : [];
    const present = inForce ?? founded;
    const isConverged = present.every(({ member }) =>
      [...voters, ...learners].includes(toMemberId(member)),
    );
    const sinceMs = this.leaderSinceMs;
    const observed = [...this.observedMembers.values()];
    const input = { present, observed, sinceMs, nowMs };
    const members = isConverged ? planMembers(input, createMemberPlanSettings(losses)) : undefined;
    if (members === undefined) {
      return;
    }
    const expected = state.getRecordRevision(getSubjectRecordName(CONTROL_MEMBERS));
    logger.report(
      Diagnostics.ControlMembersPlanned,
      { members: members.map(({ member }) => member).join(' ') },
      { step: 'control.members' },
    );
    void this.member.propose({ kind: CommandKind.SetControlMembers, members, expected });
  }

  /** Changes at most one member, towards the members that the ticket in force names. */
  private adjustMembership(): void {
    const targetMembers = this.options.state.getControlMembers()?.members;
    if (targetMembers === undefined) {
      return;
    }
    const ids = targetMembers.map(({ member }) => toMemberId(member));
    // A host stores one log: another member of the same host had an earlier log, which is lost.
    const isLogLost = (member: MemberId): boolean =>
      ids.some((id) => id !== member && getMemberHostName(id) === getMemberHostName(member));
    const change = getNextMembershipChange(this.member.membership, ids, isLogLost);
    if (change !== undefined) {
      this.member.changeMembership(change);
    }
  }
}
