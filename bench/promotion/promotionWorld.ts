import type { GroupPrimary } from '../../src/decisions/control/index.js';

/** An instance of the modelled group. */
export interface ModelInstance {
  /** Ids of the writes that it received, oldest first. */
  log: number[];
  /** Term of its log positions. */
  timeline: number;
  isPrimary: boolean;
  isRunning: boolean;
  /** Whether the holder can reach it. */
  isReachable: boolean;
  isLeaving: boolean;
  isGone: boolean;
  /** Revision at which it restarted without its log, while that is not covered; 0 for none. */
  restarted: number;
  /** Revision at which it was registered as gone, while that is not covered; 0 for none. */
  departed: number;
}

/** The holder of the modelled group. */
export interface ModelHolder {
  hasHeldFullTerm: boolean;
  acknowledged: number;
  confirmed: number;
  fencedTerm: number;
}

/** An order that the platform has not answered and may still carry out. */
export interface LateOrder {
  instance: number;
  term: number;
}

/** Complete state of a modelled group, as plain data: equal states have equal JSON. */
export interface PromotionWorld {
  instances: ModelInstance[];
  primary: GroupPrimary;
  holder: ModelHolder | undefined;
  lateOrders: LateOrder[];
  /** Whether an order of the present promotion was sent; without an answer while it is late. */
  isOrdered: boolean;
  highestToken: number;
  revision: number;
  /** Revision at which the primary's record last changed. */
  primaryRevision: number;
  writes: number;
  /** Ids of the writes acknowledged to callers. */
  acknowledged: number[];
  /** Promise that the last step broke. */
  violation: string | undefined;
}

/** Whether the modelled platform refuses orders with an outdated token, and what the model includes. */
export interface PromotionModelOptions {
  readonly hasFencedOrders: boolean;
  readonly maximumWrites: number;
}

/** A copy that can be changed. */
export function copyWorld(world: PromotionWorld): PromotionWorld {
  const { instances, holder, primary, lateOrders, acknowledged } = world;
  return {
    ...world,
    instances: instances.map((each) => ({ ...each, log: [...each.log] })),
    holder: holder && { ...holder },
    primary: { ...primary },
    lateOrders: [...lateOrders],
    acknowledged: [...acknowledged],
  };
}
