import type {
  HostId,
  GroupId,
  InstanceId,
  LeaseId,
  LogPosition,
  Revision,
  Term,
} from '../../common/ids/index.js';
import type { GroupPrimary } from '../control/groupPrimary.js';
import type { Acknowledgement } from '../tickets/index.js';
import type { InstanceView } from './instanceView.js';

/** A group's holder with what it reported under its present assignment. */
export interface HolderView {
  readonly lease: LeaseId;
  /** Whether it has held the group since before the present term began to serve. */
  readonly hasHeldFullTerm: boolean;
  /** Highest term under which it will never again acknowledge a write. */
  readonly fencedTerm: Term;
  /** When control received the report that it had fenced the serving term. */
  readonly fencedAtMs: number | undefined;
  /**
   * Position beyond which this holder acknowledged no write; 0 while the holder doesn't know it.
   */
  readonly acknowledged: LogPosition;
  /** Position of a write that this holder acknowledged; 0 for none. */
  readonly confirmed: LogPosition;
}

/** An instance that is gone together with its log. */
export interface DepartedView {
  readonly instance: InstanceId;
  /** Revision at which it was registered as gone. */
  readonly revision: Revision;
}

/** A promotion order to the platform that has not succeeded yet. */
export interface PromotionOrder {
  readonly term: Term;
  readonly firstMs: number;
  readonly lastMs: number;
  /** Whether the platform reported an order of this term as failed. */
  readonly failed: boolean;
  /** Orders of this term that this leader sent and that may still be carried out. */
  readonly unsettledCount: number;
}

/** The complete input for the choice of a group's primary. */
export interface GroupView {
  readonly group: GroupId;
  readonly nowMs: number;
  /** The control leader that decides. */
  readonly leader?: HostId;
  /** Since when this leader receives announcements. */
  readonly leaderSinceMs: number;
  readonly acknowledgement: Acknowledgement;
  readonly primary: GroupPrimary | undefined;
  /** Revision at which the primary's record last changed; 0 when there is none. */
  readonly primaryRevision: Revision;
  readonly instances: readonly InstanceView[];
  /** Instances that are gone and whose logs were not observed on another instance since. */
  readonly departed: readonly DepartedView[];
  readonly holder: HolderView | undefined;
  /** Since when the group has no holder, as far as this leader knows. */
  readonly unheldSinceMs: number | undefined;
  /** When this leader first received an announcement of the group. */
  readonly firstSeenMs: number | undefined;
  /** When this leader first observed the present primary serving. */
  readonly servingSinceMs: number | undefined;
  /** When this leader first observed the present planned move. */
  readonly movingSinceMs: number | undefined;
  /** Since when the holder reports that it reaches the primary but none of the replicas. */
  readonly isolatedSinceMs: number | undefined;
  /** When this leader last abandoned a planned move. */
  readonly moveAbandonedMs: number | undefined;
  readonly order: PromotionOrder | undefined;
  /** Instances that failed in the current promotion. */
  readonly failedInstances: readonly InstanceId[];
}
