import type {
  HostId,
  GroupId,
  InstanceId,
  LeaseId,
  LogPosition,
  Term,
} from '../../common/ids/index.js';
import type { GroupPrimary } from '../control/groupPrimary.js';
import type { Acknowledgement } from '../tickets/index.js';
import type { InstanceView } from './instanceView.js';

/** A group's holder with what it reported under its present assignment. */
export interface HolderView {
  readonly lease: LeaseId;
  /** It has held the group since before the present term began to serve. */
  readonly sinceTermBegan: boolean;
  /** Highest term under which it will never again acknowledge a write. */
  readonly fencedTerm: Term;
  /** When control received that it had fenced the serving term. */
  readonly fencedAtMs: number | undefined;
  /** No write beyond it was acknowledged by this holder: 0 while it can't tell. */
  readonly acknowledged: LogPosition;
  /** A write at this position was acknowledged by this holder; 0 for none. */
  readonly confirmed: LogPosition;
}

/** An order to the platform that has not been answered with success. */
export interface PromotionOrder {
  readonly term: Term;
  readonly firstMs: number;
  readonly lastMs: number;
  readonly failed: boolean;
}

/** All that the choice of a group's primary depends on. */
export interface GroupView {
  readonly group: GroupId;
  readonly nowMs: number;
  /** The control leader that decides. */
  readonly leader?: HostId;
  /** Since when this leader receives announcements. */
  readonly leaderSinceMs: number;
  readonly acknowledgement: Acknowledgement;
  readonly primary: GroupPrimary | undefined;
  readonly instances: readonly InstanceView[];
  readonly holder: HolderView | undefined;
  /** Since when nobody holds the group, as far as this leader knows. */
  readonly unheldSinceMs: number | undefined;
  /** When this leader first saw an announcement of the group. */
  readonly firstSeenMs: number | undefined;
  /** When this leader first saw the present primary serve. */
  readonly servingSinceMs: number | undefined;
  /** When this leader first saw the present planned move. */
  readonly movingSinceMs: number | undefined;
  /** When this leader last gave up a planned move. */
  readonly moveEndedMs: number | undefined;
  readonly order: PromotionOrder | undefined;
  /** Instances that failed in the promotion under way. */
  readonly failedInstances: readonly InstanceId[];
}
