import type { ControlMember } from '../../tickets/index.js';

/** Limits for the automatic planning of the control quorum's members. */
export interface MemberPlanSettings {
  /** Maximum number of members of the quorum. */
  readonly maximumMembers: number;
  /**
   * Time in milliseconds after which an unresponsive member is replaced if another host is
   * available.
   */
  readonly replaceAfterMs: number;
  /**
   * Time in milliseconds within which a host must have been seen to be admitted. It is shorter than
   * `replaceAfterMs` by several renewals: hosts that fall silent together are not seen for the last
   * time at the same moment, and none of them may replace another.
   */
  readonly admitWithinMs: number;
  /** Time in milliseconds after which an unresponsive member is removed without a replacement. */
  readonly removeAfterMs: number;
  /**
   * Number of members required to tolerate the configured losses; no member is removed if fewer
   * would remain responsive.
   */
  readonly minimumMembers: number;
}

/** Default limits. */
export const DEFAULT_MEMBER_PLAN_SETTINGS: MemberPlanSettings = {
  maximumMembers: 9,
  replaceAfterMs: 2000,
  admitWithinMs: 1000,
  removeAfterMs: 8000,
  minimumMembers: 3,
};

/**
 * Returns the number of members with which entries acknowledged by a majority survive the loss of
 * this many disks at once.
 */
export function getRequiredMemberCount(losses: number): number {
  return 2 * losses + 1;
}

/** Creates the limits for a quorum that tolerates the loss of this many disks at once. */
export function createMemberPlanSettings(losses: number): MemberPlanSettings {
  const { minimumMembers, maximumMembers } = DEFAULT_MEMBER_PLAN_SETTINGS;
  const required = getRequiredMemberCount(losses);
  return {
    ...DEFAULT_MEMBER_PLAN_SETTINGS,
    minimumMembers: Math.max(minimumMembers, required),
    maximumMembers: Math.max(maximumMembers, required),
  };
}

/**
 * Host that requests membership, with the time at which the leader last received a request from it.
 */
export interface ObservedMember {
  readonly member: ControlMember;
  readonly lastSeenMs: number;
}

/** Input of the member plan. */
export interface MemberPlanInput {
  /** Current target members. */
  readonly present: readonly ControlMember[];
  readonly observed: readonly ObservedMember[];
  /** Time from which this leader has been able to receive requests from the other hosts. */
  readonly sinceMs: number;
  readonly nowMs: number;
}

/**
 * Plans the members of the control quorum for a fleet whose hosts join and leave without a ticket:
 * admits hosts that request membership, and drops members that were replaced or are unresponsive.
 * This handles control hosts that were lost, wiped or moved: a failed member counts towards the
 * majority until it is removed. Returns the new target members, or undefined when nothing changes.
 * At most one member is added, removed or replaced at a time.
 */
export function planMembers(
  input: MemberPlanInput,
  settings: MemberPlanSettings = DEFAULT_MEMBER_PLAN_SETTINGS,
): readonly ControlMember[] | undefined {
  const { present, nowMs, sinceMs } = input;
  const alive = input.observed.filter(
    ({ lastSeenMs }) => nowMs - lastSeenMs < settings.admitWithinMs,
  );
  const observedById = new Map(input.observed.map((each) => [each.member.member, each]));
  const getUnresponsiveMs = ({ member }: ControlMember): number =>
    nowMs - Math.max(sinceMs, observedById.get(member)?.lastSeenMs ?? sinceMs);
  const updated = present.map((each) => observedById.get(each.member)?.member ?? each);
  const added = alive
    .map(({ member }) => member)
    .find((each) => !present.some(({ member }) => member === each.member));
  const longestUnresponsive = updated.reduce<ControlMember | undefined>(
    (longest, each) =>
      longest === undefined || getUnresponsiveMs(each) > getUnresponsiveMs(longest)
        ? each
        : longest,
    undefined,
  );
  if (added !== undefined) {
    const unresponsiveMs =
      longestUnresponsive === undefined ? 0 : getUnresponsiveMs(longestUnresponsive);
    return admitMember(updated, added, longestUnresponsive, unresponsiveMs, alive.length, settings);
  }
  const responsiveCount = updated.filter(
    (each) => getUnresponsiveMs(each) < settings.replaceAfterMs,
  ).length;
  const isRemovable =
    longestUnresponsive !== undefined &&
    getUnresponsiveMs(longestUnresponsive) >= settings.removeAfterMs;
  if (
    isRemovable &&
    responsiveCount >= settings.minimumMembers &&
    responsiveCount * 2 > updated.length
  ) {
    return updated.filter((each) => each !== longestUnresponsive);
  }
  return updated.some((each, index) => isDifferent(each, present[index])) ? updated : undefined;
}

/** Adds a host as replacement for another member or as an additional one. */
function admitMember(
  members: readonly ControlMember[],
  added: ControlMember,
  longestUnresponsive: ControlMember | undefined,
  unresponsiveMs: number,
  responsiveCount: number,
  settings: MemberPlanSettings,
): readonly ControlMember[] | undefined {
  // The earlier log of the same host or address is lost: its member identity never returns.
  const predecessor = members.find(
    ({ host, address }) => host === added.host || address === added.address,
  );
  const replaced =
    predecessor ?? (unresponsiveMs >= settings.replaceAfterMs ? longestUnresponsive : undefined);
  if (replaced !== undefined) {
    return [...members.filter((each) => each !== replaced), added];
  }
  const targetCount = getTargetCount(responsiveCount, settings);
  return members.length < targetCount ? [...members, added] : undefined;
}

/**
 * Returns an odd number of members: one more would require a larger majority without tolerating
 * another loss, and a partition into two equal halves would leave neither with a majority.
 */
function getTargetCount(responsiveCount: number, { maximumMembers }: MemberPlanSettings): number {
  const bounded = Math.min(responsiveCount, maximumMembers);
  return bounded % 2 === 0 ? bounded - 1 : bounded;
}

function isDifferent(left: ControlMember, right: ControlMember | undefined): boolean {
  return (
    left.host !== right?.host || left.address !== right.address || left.domain !== right.domain
  );
}
