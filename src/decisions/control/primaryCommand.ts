import type {
  HostId,
  GroupId,
  InstanceId,
  LeaseId,
  LogPosition,
  Term,
} from '../../common/ids/index.js';
import type { CommandKind } from './commandKind.js';

/** Records the primary of a group that control sees for the first time. */
export interface RecordPrimary {
  readonly kind: CommandKind.RecordPrimary;
  readonly group: GroupId;
  readonly term: Term;
  /** Term of its log positions, where the platform numbers them itself. */
  readonly timeline?: Term;
  readonly instance: InstanceId;
}

/** Begins a planned move: the holder is to stop writes under the term. */
export interface BeginMove {
  readonly kind: CommandKind.BeginMove;
  readonly group: GroupId;
  readonly term: Term;
}

/** Decides on the instance that is to be primary of a new term. */
export interface BeginPromotion {
  readonly kind: CommandKind.BeginPromotion;
  readonly group: GroupId;
  readonly term: Term;
  readonly instance: InstanceId;
  /** Every acknowledged write of the earlier terms is at or below this position. */
  readonly required: LogPosition;
  /** Term of the present primary record; 0 for none. */
  readonly expectedTerm: Term;
  /** Lease of the present holder, which has fenced the earlier terms; absent when none holds. */
  readonly expectedLease?: LeaseId;
  /** The control leader that decides. */
  readonly leader?: HostId;
}

/** Puts the promoted instance in service; the earlier term ended at `position`. */
export interface CompletePromotion {
  readonly kind: CommandKind.CompletePromotion;
  readonly group: GroupId;
  readonly term: Term;
  /** Term of its log positions, where the platform numbers them itself. */
  readonly timeline?: Term;
  /** The promoted instance's position when it was promoted. */
  readonly position: LogPosition;
}

/** A command that changes a group's primary. */
export type PrimaryCommand = RecordPrimary | BeginMove | BeginPromotion | CompletePromotion;
