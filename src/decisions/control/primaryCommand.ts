import type {
  HostId,
  GroupId,
  InstanceId,
  LeaseId,
  LogPosition,
  Term,
} from '../../common/ids/index.js';
import type { CommandKind } from './commandKind.js';

/** Records the primary of a group that has no primary record yet. */
export interface RecordPrimary {
  readonly kind: CommandKind.RecordPrimary;
  readonly group: GroupId;
  readonly term: Term;
  /** Term of its log positions, where the platform numbers terms itself. */
  readonly timeline?: Term;
  readonly instance: InstanceId;
}

/** Begins a planned move: the holder stops writes under the term. */
export interface BeginMove {
  readonly kind: CommandKind.BeginMove;
  readonly group: GroupId;
  readonly term: Term;
}

/** Selects the instance to promote as primary of a new term. */
export interface BeginPromotion {
  readonly kind: CommandKind.BeginPromotion;
  readonly group: GroupId;
  readonly term: Term;
  readonly instance: InstanceId;
  /** Every acknowledged write of the earlier terms is at or below this position. */
  readonly required: LogPosition;
  /** Term of the current primary record; 0 for none. */
  readonly expectedTerm: Term;
  /**
   * Lease of the current holder, which has fenced the earlier terms; absent when there is no
   * holder.
   */
  readonly expectedLease?: LeaseId;
  /** Control leader that issued the command. */
  readonly leader?: HostId;
  /** Whether an order of this promotion may be carried out after orders of later ones. */
  readonly mayRunLate?: boolean;
  /** Terms whose orders will not be carried out any more. */
  readonly settles?: readonly Term[];
}

/** Puts the promoted instance into service; the earlier term ended at `position`. */
export interface CompletePromotion {
  readonly kind: CommandKind.CompletePromotion;
  readonly group: GroupId;
  readonly term: Term;
  /** Term of its log positions, where the platform numbers terms itself. */
  readonly timeline?: Term;
  /** Log position of the instance at its promotion. */
  readonly position: LogPosition;
  /** Terms whose orders will not be carried out any more. */
  readonly settles?: readonly Term[];
}

/** Ends the wait for orders that will not be carried out any more. */
export interface SettleOrders {
  readonly kind: CommandKind.SettleOrders;
  readonly group: GroupId;
  readonly settles: readonly Term[];
}

/** A command that changes a group's primary. */
export type PrimaryCommand =
  RecordPrimary | BeginMove | BeginPromotion | CompletePromotion | SettleOrders;
