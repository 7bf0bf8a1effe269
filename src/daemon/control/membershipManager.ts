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

/** Name of the subject with the quorum's members. */
export const CONTROL_MEMBERS: string = SubjectKind.ControlMembers;

/** Time in which a new leader hears of the hosts and admits them. */
const REPORT_GRACE_MS = 3000;

/** What the keeper of the quorum's members knows of its host. */
export interface MembershipManagerOptions {
  readonly state: ControlState;
  readonly logger: Logger;
  /** Hosts that ask become members without a ticket, and lost ones are replaced. */
  readonly admitsMembers: boolean;
  /** Control hosts whose disks may be lost at once. */
  readonly losses: number;
  /** The members that the quorum was founded with, in force until a ticket names others. */
  readonly foundedMembers: SubjectStatus;
}

/** Keeps the quorum's members as a ticket names them, or as hosts come and are lost. */
export class MembershipManager {
  private readonly observedMembers = new Map<string, ObservedMember>();
  private leaderSinceMs = 0;
  /** Voters when their number was last reported as too few; undefined while they are enough. */
  private reportedCount: number | undefined;

  constructor(
    private readonly member: QuorumMember,
    private readonly options: MembershipManagerOptions,
  ) {}

  /** Takes note of a host that asks to be a member, or is one. */
  recordMember(member: ControlMember, nowMs: number): void {
    this.observedMembers.set(member.member, { member, lastSeenMs: nowMs });
  }

  /** The quorum's leader changed: what was heard before counts no more. */
  leadershipChanged(nowMs: number): void {
    this.leaderSinceMs = nowMs;
    this.observedMembers.clear();
  }

  /** Does what is due, where this host leads. */
  check(nowMs: number): void {
    if (this.member.isLeader && this.member.isMembershipCommitted) {
      this.planMembers(nowMs);
      this.adjustMembership();
      this.reportSize(nowMs);
    }
  }

  /** Tells operators when the quorum can't bear the losses that it should. */
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

  /** Admits hosts that ask and lets lost ones go, where no ticket does. */
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

  /** Brings the quorum's members nearer to those that the ticket in force names. */
  private adjustMembership(): void {
    const wanted = this.options.state.getControlMembers()?.members;
    if (wanted === undefined) {
      return;
    }
    const ids = wanted.map(({ member }) => toMemberId(member));
    // A host keeps one log: a member of the same host has an earlier one, which is gone.
    const isLogLost = (member: MemberId): boolean =>
      ids.some((id) => id !== member && getMemberHostName(id) === getMemberHostName(member));
    const change = getNextMembershipChange(this.member.membership, ids, isLogLost);
    if (change !== undefined) {
      this.member.changeMembership(change);
    }
  }
}
