import type { InstanceId, LogPosition, Term } from '../../common/ids/index.js';

/** The steps to take for a group's primary. */
export enum PromotionStep {
  /** No action until something changes. */
  NoAction = 'rest',
  /** No action yet; decide again soon. */
  Wait = 'wait',
  /** Record the primary that the group has. */
  Record = 'record',
  /** Begin a planned move: the holder fences the term, then another instance is promoted. */
  Move = 'move',
  /** Begin a promotion. */
  Promote = 'promote',
  /** Order the platform to promote the instance decided on. */
  Order = 'order',
  /** Put the promoted instance in service. */
  Complete = 'complete',
}

/** A decision without further data. */
export interface PlainDecision {
  readonly step: PromotionStep.NoAction | PromotionStep.Move | PromotionStep.Order;
}

/** A wait and its reason. */
export interface WaitDecision {
  readonly step: PromotionStep.Wait;
  readonly reason: string;
  /** Whether operators should be notified: a promotion is needed, but nothing can be promoted. */
  readonly isBlocked: boolean;
}

/** The existing primary of a group, to be recorded. */
export interface RecordDecision {
  readonly step: PromotionStep.Record;
  readonly instance: InstanceId;
  readonly term: Term;
  /** Term of its log positions, where the platform numbers them itself. */
  readonly timeline?: Term;
}

/** The promoted instance was observed as primary. */
export interface CompleteDecision {
  readonly step: PromotionStep.Complete;
  /** Term of its log positions. */
  readonly timeline: Term;
  readonly position: LogPosition;
}

/** The instance to promote. */
export interface PromoteDecision {
  readonly step: PromotionStep.Promote;
  readonly instance: InstanceId;
  readonly term: Term;
  /** Every acknowledged write is at or below this position. */
  readonly required: LogPosition;
  readonly reason: string;
}

/** A decision on a group's primary. */
export type PromotionDecision =
  PlainDecision | WaitDecision | RecordDecision | PromoteDecision | CompleteDecision;

/** The decision to do nothing. */
export const NO_ACTION: PlainDecision = { step: PromotionStep.NoAction };

/** Creates a wait. */
export function createWait(reason: string): WaitDecision {
  return { step: PromotionStep.Wait, reason, isBlocked: false };
}

/** Creates a wait of which operators should be notified. */
export function createBlockedWait(reason: string): WaitDecision {
  return { step: PromotionStep.Wait, reason, isBlocked: true };
}
