import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { FailureDomain, InstanceId } from '../../common/ids/index.js';
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
    if (eligible.length === 0) {
      return this.routeToPrimary(group, primary);
    }
    const chosen = this.policy.choose(eligible, this.domain, this.random);
    const primaryRoute = this.routeToPrimary(group, primary);
    if (
      primaryRoute.kind === RouteKind.Instance &&
      isFull(chosen) &&
      hasFreeSlots(group, primaryRoute.instance)
    ) {
      return primaryRoute;
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
