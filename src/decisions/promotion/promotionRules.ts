import { toLogPosition, toTerm, type LogPosition, type Term } from '../../common/ids/index.js';
import { getServedTimeline, PrimaryPhase, type GroupPrimary } from '../control/groupPrimary.js';
import { Acknowledgement } from '../tickets/index.js';
import { CandidateScope, getCandidates, mustMove, canServeAgain } from './candidates.js';
import { findFence, getPointAfterFence, type Fence } from './fence.js';
import { decideFirstPrimary } from './firstPrimary.js';
import type { GroupView } from './groupView.js';
import { getServedStart } from './history.js';
import type { InstanceView, MeasuredPoint } from './instanceView.js';
import {
  getFurthestPoint,
  getAnnouncedPoint,
  isAnnouncedPrimary,
  isAnnouncing,
} from './logPoints.js';
import {
  createBlockedWait,
  createWait,
  PromotionStep,
  NO_ACTION,
  type PromotionDecision,
} from './promotionDecision.js';
import type { PromotionSettings } from './promotionSettings.js';

/**
 * Decides on a group's primary: whether it is lost or has to move, and which instance replaces it.
 */
export class PromotionRules {
  constructor(protected readonly settings: PromotionSettings) {}

  /** Decides what to do next about a group's primary. */
  decide(view: GroupView): PromotionDecision {
    const { primary } = view;
    if (primary === undefined) {
      return decideFirstPrimary(view, this.settings);
    }
    switch (primary.phase) {
      case PrimaryPhase.Serving:
        return this.decideServing(view, primary);
      case PrimaryPhase.Moving:
        return this.decideMoving(view, primary);
      case PrimaryPhase.Promoting:
        return this.decidePromoting(view, primary);
    }
  }

  /** Finds the fence after which no write of the last served term is acknowledged. */
  protected findFence(view: GroupView, term: Term): Fence | undefined {
    return findFence(view, term);
  }

  /**
   * The position that covers every write acknowledged under a setting other than
   * `Acknowledgement.Primary`; undefined while it is unknown. Each such write is on the primary and
   * was on at least one other instance. Since that instance may be lost permanently, the position
   * that the holder confirmed as acknowledged is required in any case.
   */
  protected findRequired(
    view: GroupView,
    primary: GroupPrimary,
    fence: Fence,
  ): LogPosition | undefined {
    const reported = getReportedPosition(view, primary);
    const found = this.findFurthestOther(view, primary, fence);
    if (reported === undefined && found === undefined) {
      return undefined;
    }
    const highest = Math.min(reported ?? Infinity, found ?? Infinity);
    return toLogPosition(Math.max(view.holder?.confirmed ?? 0, highest));
  }

  /**
   * The furthest position of the other instances, once all of them are known after the fence;
   * undefined also when one has left during the term and its log is not covered by another.
   */
  private findFurthestOther(
    view: GroupView,
    primary: GroupPrimary,
    fence: Fence,
  ): LogPosition | undefined {
    if (view.departed.some(({ revision }) => revision > primary.since)) {
      return undefined;
    }
    let furthest = getServedStart(primary);
    for (const instance of view.instances) {
      const point = getPointAfterFence(instance, fence, this.settings);
      if (instance.instance === primary.instance) {
        continue;
      }
      const isUnknown = point === undefined || this.mayHaveLostLog(primary, instance);
      if (isUnknown && !this.isExcludedFromAcknowledgements(view, primary, instance)) {
        return undefined;
      }
      if (point !== undefined && point.term === getServedTimeline(primary)) {
        furthest = Math.max(furthest, point.position);
      }
    }
    return toLogPosition(furthest);
  }

  private decideServing(view: GroupView, primary: GroupPrimary): PromotionDecision {
    const fence = this.findFence(view, primary.term);
    const instance = findInstance(view, primary);
    const isLost = this.isLost(view, primary, instance);
    if (fence !== undefined && (fence.isReported || isLost)) {
      const reason = fence.isReported
        ? 'its holder fenced the term'
        : 'it does not announce itself as the current primary';
      return this.chooseSuccessor(view, primary, fence, reason);
    }
    if (isLost || mustMove(instance)) {
      return this.decideMove(view, primary, isLost);
    }
    return view.holder === undefined ? createWait('the group has no holder') : NO_ACTION;
  }

  /**
   * Begins a planned move when another instance can replace the primary. If the primary is lost,
   * the move makes its holder fence the term.
   */
  private decideMove(view: GroupView, primary: GroupPrimary, isLost: boolean): PromotionDecision {
    const { moveAbandonedMs, nowMs } = view;
    const isTooEarly =
      moveAbandonedMs !== undefined && nowMs - moveAbandonedMs < this.settings.moveIntervalMs;
    if (isTooEarly && !isLost) {
      return createWait('a planned move was abandoned recently');
    }
    const candidates = getCandidates(view, primary, this.settings, CandidateScope.Others);
    return candidates.length === 0
      ? createBlockedWait('no instance can replace the primary')
      : { step: PromotionStep.Move };
  }

  private decideMoving(view: GroupView, primary: GroupPrimary): PromotionDecision {
    const fence = this.findFence(view, primary.term);
    if (fence === undefined) {
      return createWait('the holder has not fenced the term');
    }
    const { movingSinceMs, nowMs } = view;
    const isTimedOut =
      movingSinceMs !== undefined && nowMs - movingSinceMs >= this.settings.moveTimeoutMs;
    const instance = findInstance(view, primary);
    const lastPoint = instance && getPointAfterFence(instance, fence, this.settings);
    if (this.isLost(view, primary, instance)) {
      return this.chooseSuccessor(
        view,
        primary,
        fence,
        'the primary was lost during a planned move',
      );
    }
    if (isTimedOut) {
      return this.chooseSuccessor(view, primary, fence, 'the planned move timed out');
    }
    const isKnown = lastPoint?.term === getServedTimeline(primary);
    if (instance === undefined || lastPoint === undefined || !isKnown) {
      return createWait('the last position of the primary is not known');
    }
    if (!this.hasCompleteLog(view, primary, instance, lastPoint)) {
      return createWait('the primary restarted without its complete log');
    }
    const [best] = getCandidates(view, primary, this.settings, CandidateScope.Others);
    const point = best && getFurthestPoint(best);
    if (best === undefined || point === undefined || point.position < lastPoint.position) {
      return createWait('no replica has reached the last position of the primary');
    }
    return this.createPromotion(view, best, lastPoint.position, 'planned move');
  }

  private decidePromoting(view: GroupView, primary: GroupPrimary): PromotionDecision {
    const { order, nowMs } = view;
    const completed = findCompletion(view, primary);
    if (completed !== undefined) {
      return completed;
    }
    if (!this.settings.adoptsOrders && primary.decidedBy !== view.leader) {
      return this.supersedePromotion(view, primary);
    }
    const required = primary.base?.required ?? toLogPosition(0);
    const isOrdered = order?.term === primary.term;
    const isTimedOut = isOrdered && nowMs - order.firstMs >= this.settings.promotionTimeoutMs;
    const hasLostLog = lacksRequired(view, findInstance(view, primary), required);
    const mustReplace = hasLostLog || isTimedOut || (isOrdered && order.failed);
    const next = mustReplace ? this.findAlternative(view, primary) : undefined;
    if (next !== undefined) {
      return this.createPromotion(view, next, required, 'the promotion failed or timed out');
    }
    if (hasLostLog) {
      return createBlockedWait('the instance to promote lost its log');
    }
    if (!isOrdered) {
      return { step: PromotionStep.Order };
    }
    return nowMs - order.lastMs >= this.settings.orderIntervalMs
      ? { step: PromotionStep.Order }
      : createWait('the platform has not answered');
  }

  /**
   * Supersedes an earlier leader's promotion, whose order may still be carried out, by one under a
   * higher term.
   */
  private supersedePromotion(view: GroupView, primary: GroupPrimary): PromotionDecision {
    const required = primary.base?.required ?? toLogPosition(0);
    const candidates = getCandidates(view, primary, this.settings, CandidateScope.All).filter(
      (each) => (getFurthestPoint(each)?.position ?? -1) >= required,
    );
    const sameInstance = candidates.find((each) => each.instance === primary.instance);
    const next = sameInstance ?? candidates[0];
    return next === undefined
      ? createBlockedWait('no candidate has every acknowledged write')
      : this.createPromotion(view, next, required, 'an earlier leader began the promotion');
  }

  /** Another instance for an unfinished promotion; instances that failed in it come last. */
  private findAlternative(view: GroupView, primary: GroupPrimary): InstanceView | undefined {
    const required = primary.base?.required ?? 0;
    const others = getCandidates(view, primary, this.settings, CandidateScope.Others).filter(
      (each) => (getFurthestPoint(each)?.position ?? -1) >= required,
    );
    return others.find((each) => !view.failedInstances.includes(each.instance)) ?? others[0];
  }

  /**
   * Chooses an instance that has every acknowledged write; otherwise the last primary, if it can
   * serve again.
   */
  private chooseSuccessor(
    view: GroupView,
    primary: GroupPrimary,
    fence: Fence,
    reason: string,
  ): PromotionDecision {
    const [best] = getCandidates(view, primary, this.settings, CandidateScope.All);
    const point = best && getFurthestPoint(best);
    const required = this.getRequired(view, primary, fence);
    if (best !== undefined && point !== undefined && required !== undefined) {
      if (point.position >= required) {
        return this.createPromotion(view, best, required, reason);
      }
    }
    const own = findInstance(view, primary);
    const ownPoint = own && getPointAfterFence(own, fence, this.settings);
    if (own !== undefined && ownPoint !== undefined) {
      const isSameTimeline = ownPoint.term === getServedTimeline(primary);
      const isComplete = this.hasCompleteLog(view, primary, own, ownPoint);
      if (isSameTimeline && isComplete && canServeAgain(view, primary, own, this.settings)) {
        return this.createPromotion(view, own, ownPoint.position, 'the last primary serves again');
      }
    }
    return createBlockedWait(
      required === undefined
        ? 'not every position is known'
        : 'no candidate has every acknowledged write',
    );
  }

  private getRequired(
    view: GroupView,
    primary: GroupPrimary,
    fence: Fence,
  ): LogPosition | undefined {
    return view.acknowledgement === Acknowledgement.Primary
      ? toLogPosition(0)
      : this.findRequired(view, primary, fence);
  }

  private isLost(
    view: GroupView,
    primary: GroupPrimary,
    instance: InstanceView | undefined,
  ): boolean {
    if (instance === undefined || !isAnnouncing(view, instance, this.settings)) {
      const isPresumedReachable =
        view.holder !== undefined && instance?.observed?.reachable !== false;
      return !isPresumedReachable && this.canDetectLoss(view);
    }
    const { announced } = instance;
    const servingSinceMs = view.servingSinceMs ?? view.nowMs;
    if (announced === undefined || announced.earliestReceiptMs < servingSinceMs) {
      return false;
    }
    const announcedPoint = getAnnouncedPoint(instance);
    const isBehind =
      announcedPoint !== undefined && announcedPoint.term < (getServedTimeline(primary) ?? 0);
    return !isAnnouncedPrimary(instance) || isBehind;
  }

  /**
   * Whether this leader has been able to receive announcements for so long that their absence counts
   * as a loss.
   */
  private canDetectLoss(view: GroupView): boolean {
    const sinceMs = Math.max(view.leaderSinceMs, view.servingSinceMs ?? view.leaderSinceMs);
    return view.nowMs - sinceMs >= this.settings.missingMs;
  }

  /**
   * Whether the instance was not counted for the acknowledgement of any write of the term, because
   * every holder of the group under the term knows that the instance is leaving. A primary that
   * acknowledges by itself counts leaving instances too.
   */
  protected isExcludedFromAcknowledgements(
    { acknowledgement }: GroupView,
    primary: GroupPrimary,
    instance: InstanceView,
  ): boolean {
    return (
      acknowledgement !== Acknowledgement.Synchronous &&
      instance.leaving &&
      instance.leavingRevision < primary.since
    );
  }

  /**
   * Whether the instance restarted during the term. Writes that it had received before, perhaps as
   * the only one besides the primary, may be lost, so its position proves nothing about them.
   */
  protected mayHaveLostLog(primary: GroupPrimary, instance: InstanceView): boolean {
    return instance.restartedRevision > primary.since;
  }

  /**
   * Whether the primary still has every write that it acknowledged. After a restart its log may be
   * lost; then it is behind what the others received in the term, or behind what its holder
   * acknowledged.
   */
  private hasCompleteLog(
    view: GroupView,
    primary: GroupPrimary,
    own: InstanceView,
    { position }: MeasuredPoint,
  ): boolean {
    if (position < (view.holder?.confirmed ?? 0)) {
      return false;
    }
    if (!this.mayHaveLostLog(primary, own)) {
      return true;
    }
    const timeline = getServedTimeline(primary);
    const isAhead = (point: MeasuredPoint | undefined): boolean =>
      point !== undefined && point.term === timeline && point.position > position;
    const isEmpty = position <= getServedStart(primary);
    const isProven = !isEmpty || this.hasRequired(view, primary, position);
    return isProven && !view.instances.map(getFurthestPoint).some(isAhead);
  }

  /** Whether a position is known to cover every acknowledged write. */
  private hasRequired(view: GroupView, primary: GroupPrimary, position: LogPosition): boolean {
    const fence = this.findFence(view, primary.term);
    const required = fence && this.getRequired(view, primary, fence);
    return required !== undefined && position >= required;
  }

  private createPromotion(
    view: GroupView,
    instance: InstanceView,
    required: LogPosition,
    reason: string,
  ): PromotionDecision {
    const term = getNextTerm(view);
    return { step: PromotionStep.Promote, instance: instance.instance, term, required, reason };
  }
}

/**
 * The position up to which the holder reports acknowledged writes; undefined when the report does
 * not count for the full term.
 */
function getReportedPosition(view: GroupView, primary: GroupPrimary): LogPosition | undefined {
  const { holder } = view;
  if (holder === undefined || !(holder.hasHeldFullTerm || holder.acknowledged > 0)) {
    return undefined;
  }
  return toLogPosition(Math.max(getServedStart(primary), holder.acknowledged));
}

/** A term above every known term of the group. */
export function getNextTerm(view: GroupView): Term {
  let highest = view.primary?.term ?? 0;
  for (const { announced, observed } of view.instances) {
    highest = Math.max(highest, announced?.term ?? 0, observed?.term ?? 0);
  }
  return toTerm(highest + 1);
}

/** The completion of a promotion, once its instance was observed as primary of a later timeline. */
function findCompletion(view: GroupView, primary: GroupPrimary): PromotionDecision | undefined {
  const { base } = primary;
  const observed = findInstance(view, primary)?.observed;
  if (base?.timeline === undefined || observed?.isPrimary !== true || !observed.reachable) {
    return undefined;
  }
  const { term: timeline, position } = observed;
  return timeline > base.timeline && position >= base.required
    ? { step: PromotionStep.Complete, timeline, position }
    : undefined;
}

function findInstance(view: GroupView, primary: GroupPrimary): InstanceView | undefined {
  return view.instances.find((each) => each.instance === primary.instance);
}

/**
 * Whether the instance to promote may lack a position that it had when it was chosen: it was observed
 * behind it, or it restarted since then and was not observed to have it again.
 */
function lacksRequired(
  view: GroupView,
  instance: InstanceView | undefined,
  required: LogPosition,
): boolean {
  const point = instance && getFurthestPoint(instance);
  const isKnown = point !== undefined && point.term > 0;
  const hasRestarted = instance !== undefined && instance.restartedRevision > view.primaryRevision;
  return isKnown ? point.position < required : hasRestarted;
}
