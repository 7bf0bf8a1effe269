import type { ControlMember } from '../../tickets/index.js';

/** Bounds for the members that the control quorum plans by itself. */
export interface MemberPlanSettings {
  /** Most members of the quorum. */
  readonly maximumMembers: number;
  /** A member silent for this long is replaced when another host can take its place. */
  readonly replaceAfterMs: number;
  /** A member silent for this long is removed although nobody takes its place. */
  readonly removeAfterMs: number;
  /** Members that are needed for the losses to be borne; below that nobody is removed. */
  readonly minimumMembers: number;
}

/** The bounds used unless set otherwise. */
export const DEFAULT_MEMBER_PLAN_SETTINGS: MemberPlanSettings = {
  maximumMembers: 9,
  replaceAfterMs: 2000,
  removeAfterMs: 8000,
  minimumMembers: 3,
};

/** Members needed so that what a majority acknowledged outlasts the loss of this many disks at once. */
export function getNeededMembers(losses: number): number {
  return 2 * losses + 1;
}

/** The bounds for a quorum that bears the loss of this many disks at once. */
export function createMemberPlanSettings(losses: number): MemberPlanSettings {
  const { minimumMembers, maximumMembers } = DEFAULT_MEMBER_PLAN_SETTINGS;
  const required = getNeededMembers(losses);
  return {
    ...DEFAULT_MEMBER_PLAN_SETTINGS,
    minimumMembers: Math.max(minimumMembers, required),
    maximumMembers: Math.max(maximumMembers, required),
  };
}

/** A host that asks to be a member, and when the leader last heard of it. */
export interface HeardMember {
  readonly member: ControlMember;
  readonly heardMs: number;
}

/** What the plan depends on. */
export interface MemberPlanInput {
  /** The members wanted so far. */
  readonly present: readonly ControlMember[];
  readonly heard: readonly HeardMember[];
  /** Since when this leader can have heard of the others. */
  readonly sinceMs: number;
  readonly nowMs: number;
}

/**
 * Plans the members of the control quorum, for a fleet whose hosts come and go without a ticket:
 * admits hosts that ask, and lets those go that were replaced or are silent. Answers lost, wiped and
 * moved control hosts: a dead member weighs on the quorum until it is removed. Gives the members
 * wanted from now on, or undefined when nothing changes. One member changes at a time.
 */
export function planMembers(
  input: MemberPlanInput,
  settings: MemberPlanSettings = DEFAULT_MEMBER_PLAN_SETTINGS,
): readonly ControlMember[] | undefined {
  const { present, nowMs, sinceMs } = input;
  const alive = input.heard.filter(({ heardMs }) => nowMs - heardMs < settings.replaceAfterMs);
  const observedById = new Map(input.heard.map((each) => [each.member.member, each]));
  const getUnresponsiveMs = ({ member }: ControlMember): number =>
    nowMs - Math.max(sinceMs, observedById.get(member)?.heardMs ?? sinceMs);
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

/** Admits a host in place of what it replaces, or besides the others. */
function admitMember(
  members: readonly ControlMember[],
  added: ControlMember,
  longestUnresponsive: ControlMember | undefined,
  unresponsiveMs: number,
  responsiveCount: number,
  settings: MemberPlanSettings,
): readonly ControlMember[] | undefined {
  // An earlier log of the same host or address is gone: its identity never comes back.
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
 * An odd number: another member beside it would make larger majorities without bearing one more
 * loss, and would let a fleet that is cut in two halves stand still.
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
