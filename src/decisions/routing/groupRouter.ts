import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { FailureDomain } from '../../common/ids/index.js';
import type { RandomSource } from '../../common/random.js';
import { getServedTimeline, PrimaryPhase, type GroupPrimary } from '../control/index.js';
import { getPositionStatus, PositionStatus, type SessionPosition } from '../sessions/index.js';
import type { InstanceView } from './instanceView.js';
import type { ReadRequirement } from './readRequirement.js';
import type { ReplicaPolicy } from './replicaPolicy.js';
import { RouteKind, type RouteDecision } from './routeDecision.js';

/** The holder's view of a group at the time of routing. */
export interface GroupView {
  readonly primary: GroupPrimary | undefined;
  /** Whether the holder has stopped acknowledging writes of the primary's term. */
  readonly fenced: boolean;
  /** Furthest position acknowledged to callers; undefined until it is known. */
  readonly acknowledged: SessionPosition | undefined;
  readonly instances: readonly InstanceView[];
}

/** Time after which a caller may ask again for what a withdrawn primary alone could run. */
const WITHDRAWN_RETRY_MS = 500;

/** Decides which instance of a group runs a request. */
export class GroupRouter {
  constructor(
    private readonly policy: ReplicaPolicy,
    private readonly domain: FailureDomain,
    private readonly random: RandomSource,
  ) {}

  /** Routes a write: only a serving, unfenced primary accepts it. */
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
    const mayUseReplicas = requirement.avoidsReplicas !== true;
    const eligible = group.instances.filter(
      (view) => mayUseReplicas && isEligibleReplica(view, group, primary, requirement),
    );
    const primaryRoute = this.routeToPrimary(group, primary);
    if (eligible.length === 0) {
      return primaryRoute;
    }
    const warm = eligible.filter(isWarm);
    const startable = eligible.filter((view) => !isWarm(view) && mayStartNow(view));
    const chosen = warm.length === 0 ? undefined : this.choose(warm);
    if (chosen !== undefined && !isFull(chosen)) {
      return toReplicaRoute(chosen);
    }
    const warmPrimary = getWarmInstance(group, primaryRoute);
    if (warmPrimary !== undefined && hasFreeSlots(warmPrimary)) {
      return primaryRoute;
    }
    // A cold instance is used at its pace when the warm ones are full.
    if (startable.length > 0) {
      return toReplicaRoute(this.choose(startable));
    }
    if (chosen === undefined && warmPrimary !== undefined) {
      return primaryRoute;
    }
    return toReplicaRoute(chosen ?? this.choose(eligible));
  }

  private choose(views: readonly InstanceView[]): InstanceView {
    return this.policy.choose(views, this.domain, this.random);
  }

  private checkSession(
    primary: GroupPrimary,
    session: SessionPosition | undefined,
  ): RouteDecision | undefined {
    if (session === undefined) {
      return undefined;
    }
    if (primary.phase === PrimaryPhase.Promoting && !isPreserved(primary, session)) {
      // The end of the previous term is known only once the promotion is complete.
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
    if (serving && view?.withdrawn === true) {
      return { kind: RouteKind.Refuse, fault: createWithdrawnFault(primary) };
    }
    return view?.reachable === true && serving
      ? { kind: RouteKind.Instance, instance: primary.instance, isPrimary: true }
      : { kind: RouteKind.Wait };
  }
}

/** Whether a read on the instance would wait for a slot. */
function isFull({ load, slots }: InstanceView): boolean {
  return load >= slots;
}

/** Whether a read on the primary would find a free slot and leave another one for writes. */
function hasFreeSlots({ inService, load, slots }: InstanceView): boolean {
  return inService && load < slots - 1;
}

function isWarm({ coldWaitMs }: InstanceView): boolean {
  return coldWaitMs === undefined;
}

/** Whether a cold instance may start a request now and has a slot for it. */
function mayStartNow(view: InstanceView): boolean {
  return view.coldWaitMs === 0 && !isFull(view);
}

/** Returns the instance that a decision names, if it is warm. */
function getWarmInstance(group: GroupView, route: RouteDecision): InstanceView | undefined {
  return route.kind === RouteKind.Instance
    ? group.instances.find((each) => each.instance === route.instance && isWarm(each))
    : undefined;
}

function toReplicaRoute({ instance }: InstanceView): RouteDecision {
  return { kind: RouteKind.Instance, instance, isPrimary: false };
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

/** Whether a position is one that the promotion in progress cannot drop. */
function isPreserved({ base }: GroupPrimary, { term, position }: SessionPosition): boolean {
  const timeline = base?.timeline ?? base?.term;
  return base !== undefined && term === timeline && position <= base.required;
}

function hasReached(position: SessionPosition, wanted: SessionPosition): boolean {
  return position.position >= wanted.position;
}

function createWithdrawnFault({ group, instance }: GroupPrimary): Fault {
  const context = { step: 'route', execution: Execution.NotRun, retryAfterMs: WITHDRAWN_RETRY_MS };
  return createFault(Diagnostics.PrimaryWithdrawn, { group, instance }, context);
}

function createPositionLostFault(primary: GroupPrimary, session: SessionPosition): Fault {
  return createFault(
    Diagnostics.PositionLost,
    { position: session.position, term: session.term, group: primary.group },
    { step: 'route' },
  );
}
