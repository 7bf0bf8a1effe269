import type { GroupId, InstanceId, LogPosition, Term } from '../../common/ids/index.js';
import type { Outcome } from '../../common/result.js';

/** An order to make an instance the primary of a term. */
export interface PromotionOrder {
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly term: Term;
  /** HTTP address `ip:port` at which the platform takes orders for the instance. */
  readonly platform: string;
}

/** What became of an order to promote. */
export interface PromotionReceipt {
  /** The instance's position when it was promoted; absent when it has to be seen on the instance. */
  readonly position?: LogPosition;
}

/** The platform that runs the database instances. */
export abstract class Platform {
  /** Promotes an instance; idempotent for the same term. A fault: it was refused and will not run. */
  abstract promote(order: PromotionOrder): Outcome<PromotionReceipt>;
}
