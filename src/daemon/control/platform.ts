import type { GroupId, InstanceId, LogPosition, Term } from '../../common/ids/index.js';
import type { Outcome } from '../../common/result.js';
import type { ReportOutcome, UsageReport } from '../../decisions/usage/index.js';

/** Order to make an instance the primary of a term. */
export interface PromotionOrder {
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly term: Term;
  /** HTTP address `ip:port` at which the platform accepts orders for the instance. */
  readonly platform: string;
}

/** Answer of the platform to a promotion order. */
export interface PromotionReceipt {
  /**
   * Log position of the instance at its promotion; absent if it has to be read from the instance.
   */
  readonly position?: LogPosition;
  /** Whether the order was answered, so that it will not be carried out after later ones. */
  readonly isSettled: boolean;
}

/** Platform that runs the database instances. */
export abstract class Platform {
  /**
   * Promotes an instance; idempotent for the same term. A fault means that the order was refused
   * and will not be carried out.
   */
  abstract promote(order: PromotionOrder): Outcome<PromotionReceipt>;

  /** Reports the usage of one window; the same report may be sent repeatedly. */
  abstract reportUsage(report: UsageReport): Promise<ReportOutcome>;
}
