import { Diagnostics } from '../../../common/diagnostics/index.js';
import { toTerm, type GroupId, type Term } from '../../../common/ids/index.js';
import {
  describePositions,
  PromotionStep,
  type CompleteDecision,
  type GroupView,
  type PromoteDecision,
  type PromotionRules,
  type RecordDecision,
  type WaitDecision,
} from '../../promotion/index.js';
import { CommandKind } from '../commandKind.js';
import { PrimaryPhase } from '../groupPrimary.js';
import type { CompletePromotion } from '../primaryCommand.js';
import { getPrimaryRecordName } from '../recordNames.js';
import { ControlOutputKind } from './controlOutput.js';
import { createGroupView } from './createGroupView.js';
import type { GroupPlacement } from './groupPlacement.js';
import { getTracker, type LeaderContext } from './leaderContext.js';
import { OrderSettlement } from './orderSettlement.js';
import type { ReaderPlacement } from './readerPlacement.js';

const NO_TERM = toTerm(0);
const MS_PER_SECOND = 1000;

/** Decides on one group at a time: its primary, its holder, then the readers of its replicas. */
export class GroupDecisions {
  private readonly orders: OrderSettlement;

  constructor(
    private readonly context: LeaderContext,
    private readonly rules: PromotionRules,
    private readonly placement: GroupPlacement,
    private readonly readers: ReaderPlacement,
  ) {
    this.orders = new OrderSettlement(context);
  }

  /** Proposes the next changes of a group; true if the group must be processed again. */
  decide(group: GroupId, nowMs: number): boolean {
    const view = createGroupView(this.context, group, nowMs);
    const isOrderPending = this.settleOrders(view);
    const isPrimaryPending = this.decidePrimary(view) || isOrderPending;
    const isHolderPending = this.placement.decide(view);
    return this.readers.decide(group, nowMs) || isHolderPending || isPrimaryPending;
  }

  private decidePrimary(view: GroupView): boolean {
    if (this.context.outbox.isPending(getPrimaryRecordName(view.group), view.nowMs)) {
      return true;
    }
    const decision = this.rules.decide(view);
    switch (decision.step) {
      case PromotionStep.NoAction:
        getTracker(this.context, view.group).blockedReason = undefined;
        return false;
      case PromotionStep.Wait:
        this.handleWait(view, decision);
        return true;
      case PromotionStep.Record:
        this.record(view, decision);
        return true;
      case PromotionStep.Move:
        this.move(view);
        return true;
      case PromotionStep.Promote:
        this.promote(view, decision);
        return true;
      case PromotionStep.Order:
        this.order(view);
        return true;
      case PromotionStep.Complete:
        this.complete(view, decision);
        return true;
    }
  }

  private handleWait(view: GroupView, decision: WaitDecision): void {
    const tracker = getTracker(this.context, view.group);
    const { group } = view;
    const { reason } = decision;
    if (decision.isBlocked && tracker.blockedReason !== reason) {
      const positions = describePositions(view);
      this.context.outbox.log(Diagnostics.PromotionWaits, { group, reason, positions });
    }
    tracker.blockedReason = decision.isBlocked ? reason : undefined;
  }

  private record(view: GroupView, decision: RecordDecision): void {
    const { group, nowMs } = view;
    const { term, timeline, instance } = decision;
    const recorded = { kind: CommandKind.RecordPrimary, group, term, instance } as const;
    const command = timeline === undefined ? recorded : { ...recorded, timeline };
    this.context.outbox.propose(getPrimaryRecordName(group), command, nowMs);
  }

  private move(view: GroupView): void {
    const { group, nowMs, primary } = view;
    if (primary !== undefined) {
      const command = { kind: CommandKind.BeginMove, group, term: primary.term } as const;
      this.context.outbox.propose(getPrimaryRecordName(group), command, nowMs);
    }
  }

  private promote(view: GroupView, decision: PromoteDecision): void {
    const { group, nowMs, primary, holder } = view;
    const { term, instance, required, reason } = decision;
    if (this.isPaused(view)) {
      return;
    }
    this.logPreviousPrimary(view, reason);
    const positions = describePositions(view);
    const decided = { group, instance, required, reason, positions };
    this.context.outbox.log(Diagnostics.PromotionDecided, decided);
    const command = {
      kind: CommandKind.BeginPromotion,
      group,
      term,
      instance,
      required,
      leader: this.context.host,
      expectedTerm: primary?.term ?? NO_TERM,
      ...createSettlement(this.orders.getSettledTerms(view)),
      ...(this.context.settings.promotion.hasFencedOrders ? {} : { mayRunLate: true }),
      ...(holder === undefined ? {} : { expectedLease: holder.lease }),
    } as const;
    getTracker(this.context, group).begunTerm = term;
    this.context.outbox.propose(getPrimaryRecordName(group), command, nowMs);
  }

  /**
   * Whether a group was promoted so often that something else is wrong with it, such as instances that
   * start empty again and again: further promotions then come at a bounded rate.
   */
  private isPaused({ group, nowMs }: GroupView): boolean {
    const { maximumPromotions, promotionWindowMs } = this.context.settings.promotion;
    const tracker = getTracker(this.context, group);
    tracker.promotionTimes = tracker.promotionTimes.filter(
      (atMs) => nowMs - atMs < promotionWindowMs,
    );
    const count = tracker.promotionTimes.length;
    if (count < maximumPromotions) {
      tracker.promotionTimes.push(nowMs);
      tracker.isPaused = false;
      return false;
    }
    if (!tracker.isPaused) {
      tracker.isPaused = true;
      const values = { group, count, seconds: promotionWindowMs / MS_PER_SECOND };
      this.context.outbox.log(Diagnostics.PromotionsPaused, values);
    }
    return true;
  }

  /** Ends the wait for orders that will not be carried out any more; true while there is one. */
  private settleOrders(view: GroupView): boolean {
    const { group, nowMs } = view;
    const settles = this.orders.getExpiredTerms(view);
    if (settles.length > 0) {
      const command = { kind: CommandKind.SettleOrders, group, settles } as const;
      this.context.outbox.propose(getPrimaryRecordName(group), command, nowMs);
    }
    return (view.primary?.unsettled ?? []).length > 0;
  }

  private complete(view: GroupView, { timeline, position }: CompleteDecision): void {
    const { group, nowMs, primary } = view;
    if (primary !== undefined) {
      const { term } = primary;
      const kind = CommandKind.CompletePromotion;
      const settlement = createSettlement(this.orders.getSettledTerms(view));
      const command = { kind, group, term, timeline, position, ...settlement } as const;
      this.context.outbox.propose(getPrimaryRecordName(group), command, nowMs);
    }
  }

  private logPreviousPrimary(view: GroupView, reason: string): void {
    const { group, primary } = view;
    if (primary === undefined) {
      return;
    }
    const { instance, term } = primary;
    if (primary.phase === PrimaryPhase.Promoting) {
      const values = { group, instance, term, reason };
      this.context.outbox.log(Diagnostics.PromotionAbandoned, values);
    } else if (primary.phase === PrimaryPhase.Serving) {
      this.context.outbox.log(Diagnostics.PrimaryLost, { group, instance, reason });
    }
  }

  private order(view: GroupView): void {
    const { group, nowMs, primary } = view;
    const record = primary && this.context.state.getInstance(group, primary.instance);
    if (primary === undefined || record === undefined) {
      return;
    }
    const tracker = getTracker(this.context, group);
    const { term, instance } = primary;
    const previous = tracker.order?.term === term ? tracker.order : undefined;
    const firstMs = previous?.firstMs ?? nowMs;
    const unsettledCount = (previous?.unsettledCount ?? 0) + 1;
    const failed = previous?.failed ?? false;
    tracker.order = { term, firstMs, lastMs: nowMs, failed, unsettledCount };
    tracker.orderedInstance = instance;
    const { platform } = record;
    const output = { kind: ControlOutputKind.Promote, group, instance, term, platform } as const;
    this.context.outbox.add(output);
  }
}

function createSettlement(terms: readonly Term[]): Pick<CompletePromotion, 'settles'> {
  return terms.length === 0 ? {} : { settles: terms };
}
