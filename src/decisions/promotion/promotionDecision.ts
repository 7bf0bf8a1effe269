import type { InstanceId, LogPosition, Term } from '../../common/ids/index.js';

/** What is to be done about a group's primary. */
export enum PromotionStep {
  /** Nothing, until something changes. */
  Rest = 'rest',
  /** Nothing yet: look again soon. */
  Wait = 'wait',
  /** Record the primary that the group has. */
  Record = 'record',
  /** Begin a planned move. */
  Move = 'move',
  /** Begin a promotion. */
  Promote = 'promote',
  /** Order the platform to promote the instance decided on. */
  Order = 'order',
  /** Put the promoted instance in service. */
  Complete = 'complete',
}

/** A step without further content. */
export interface PlainDecision {
  readonly step: PromotionStep.Rest | PromotionStep.Move | PromotionStep.Order;
}

/** A wait and what for. */
export interface WaitDecision {
  readonly step: PromotionStep.Wait;
  readonly reason: string;
  /** Operators should know: nothing can be promoted though something should be. */
  readonly isBlocked: boolean;
}

/** The primary that a group has. */
export interface RecordDecision {
  readonly step: PromotionStep.Record;
  readonly instance: InstanceId;
  readonly term: Term;
  /** Term of its log positions, where the platform numbers them itself. */
  readonly timeline?: Term;
}

/** The promoted instance leads, as was seen. */
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

/** What is to be done about a group's primary. */
export type PromotionDecision =
  PlainDecision | WaitDecision | RecordDecision | PromoteDecision | CompleteDecision;

/** Nothing to do. */
export const NO_ACTION: PlainDecision = { step: PromotionStep.Rest };

/** Creates a wait. */
export function createWait(reason: string): WaitDecision {
  return { step: PromotionStep.Wait, reason, isBlocked: false };
}

/** Creates a wait that operators should know of. */
export function createBlockedWait(reason: string): WaitDecision {
  return { step: PromotionStep.Wait, reason, isBlocked: true };
}
