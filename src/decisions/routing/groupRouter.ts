import { createFault, Diagnostics } from '../../common/diagnostics/index.js';
import type { FailureDomain, InstanceId } from '../../common/ids/index.js';
import type { RandomSource } from '../../common/random.js';
import { getServedTimeline, PrimaryPhase, type GroupPrimary } from '../control/index.js';
import { getPositionStatus, PositionStatus, type SessionPosition } from '../sessions/index.js';
import type { InstanceView } from './instanceView.js';
import type { ReadRequirement } from './readRequirement.js';
import type { ReplicaPolicy } from './replicaPolicy.js';
import { RouteKind, type RouteDecision } from './routeDecision.js';

/** What the holder knows of a group when it routes. */
export interface GroupView {
  readonly primary: GroupPrimary | undefined;
  /** The holder has stopped acknowledging writes of the primary's term. */
  readonly fenced: boolean;
  /** The furthest position acknowledged to callers; absent until it is known. */
  readonly acknowledged: SessionPosition | undefined;
  readonly instances: readonly InstanceView[];
}

/** Decides which instance of a group runs a request. */
export class GroupRouter {
  constructor(
    private readonly policy: ReplicaPolicy,
    private readonly domain: FailureDomain,
    private readonly random: RandomSource,
  ) {}

  /** Routes a write: only a serving, unfenced primary takes it. */
  routeWrite(group: GroupView, session: SessionPosition | undefined): RouteDecision {
    const { primary } = group;
    if (primary === undefined) {
      return { kind: RouteKind.Wait };
    }
    return this.checkSession(primary, session) ?? this.routeToPrimary(group, primary);
  }

  /** Routes a read to an instance whose data meets the requirement. */
  routeRead(group: GroupView, requirement: ReadRequirement): RouteDecision {
    const { primary } = group;
    if (primary === undefined) {
      return { kind: RouteKind.Wait };
    }
    const refused = this.checkSession(primary, requirement.session);
    if (refused !== undefined) {
      return refused;
    }
    const isWanted = requirement.avoidsReplicas !== true;
    const eligible = group.instances.filter(
      (view) => isWanted && isEligibleReplica(view, group, primary, requirement),
    );
    if (eligible.length === 0) {
      return this.routeToPrimary(group, primary);
    }
    const chosen = this.policy.choose(eligible, this.domain, this.random);
    const own = this.routeToPrimary(group, primary);
    if (own.kind === RouteKind.Instance && isFull(chosen) && hasFreeSlots(group, own.instance)) {
      return own;
    }
    return { kind: RouteKind.Instance, instance: chosen.instance, isPrimary: false };
  }

  private checkSession(
    primary: GroupPrimary,
    session: SessionPosition | undefined,
  ): RouteDecision | undefined {
    if (session === undefined) {
      return undefined;
    }
    if (primary.phase === PrimaryPhase.Promoting && !isPreserved(primary, session)) {
      // Where the earlier term ends is known only once the promotion is complete.
      return { kind: RouteKind.Wait };
    }
    switch (getPositionStatus(session, primary)) {
      case PositionStatus.Included:
        return undefined;
      case PositionStatus.Future:
        return { kind: RouteKind.Wait };
      case PositionStatus.Lost:
        return { kind: RouteKind.Refuse, fault: createPositionLostFault(primary, session) };
    }
  }

  private routeToPrimary(group: GroupView, primary: GroupPrimary): RouteDecision {
    const view = group.instances.find((candidate) => candidate.instance === primary.instance);
    const serving = primary.phase === PrimaryPhase.Serving && !group.fenced;
    return view?.reachable === true && serving
      ? { kind: RouteKind.Instance, instance: primary.instance, isPrimary: true }
      : { kind: RouteKind.Wait };
  }
}

/** A read on it would wait for a slot. */
function isFull({ load, slots }: InstanceView): boolean {
  return load >= slots;
}

/** Whether a read on the primary would find a free slot and leave one to writes. */
function hasFreeSlots(group: GroupView, instance: InstanceId): boolean {
  const view = group.instances.find((each) => each.instance === instance);
  return view?.inService === true && view.load < view.slots - 1;
}

function isEligibleReplica(
  view: InstanceView,
  group: GroupView,
  primary: GroupPrimary,
  requirement: ReadRequirement,
): boolean {
  const { position } = view;
  const served = primary.base === undefined ? primary.instance : primary.base.instance;
  if (view.instance === served || !view.reachable || !view.inService) {
    return false;
  }
  if (position === undefined || position.term !== getServedTimeline(primary)) {
    return false;
  }
  if (requirement.session !== undefined && !hasReached(position, requirement.session)) {
    return false;
  }
  if (requirement.latest === true) {
    return group.acknowledged !== undefined && hasReached(position, group.acknowledged);
  }
  if (requirement.maximumStalenessMs !== undefined) {
    return view.ageMs <= requirement.maximumStalenessMs;
  }
  const wanted = requirement.session ?? group.acknowledged;
  return wanted !== undefined && hasReached(position, wanted);
}

/** Whether a position is among those that the promotion under way can't drop. */
function isPreserved({ base }: GroupPrimary, { term, position }: SessionPosition): boolean {
  const timeline = base?.timeline ?? base?.term;
  return base !== undefined && term === timeline && position <= base.required;
}

function hasReached(position: SessionPosition, wanted: SessionPosition): boolean {
  return position.position >= wanted.position;
}

function createPositionLostFault(
  primary: GroupPrimary,
  session: SessionPosition,
): ReturnType<typeof createFault> {
  return createFault(
    Diagnostics.PositionLost,
    { position: session.position, term: session.term, group: primary.group },
    { step: 'route' },
  );
}
