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

/** The platform that runs the database instances. */
export abstract class Platform {
  /** Promotes an instance; idempotent for the same term. Gives its position at the promotion. */
  abstract promote(order: PromotionOrder): Outcome<LogPosition>;
}
