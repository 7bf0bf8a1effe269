import type {
  HostId,
  GroupId,
  InstanceId,
  LogPosition,
  Revision,
  Term,
} from '../../common/ids/index.js';
import type { RecordKind } from './recordKind.js';

/** Phase of a change of primary. */
export enum PrimaryPhase {
  /** The instance is the primary of the term, and writes may be acknowledged. */
  Serving = 'serving',
  /** The holder stops writes so that a planned move loses none. */
  Moving = 'moving',
  /** The platform has been or will be requested to promote the instance; no writes are accepted. */
  Promoting = 'promoting',
}

/** End of a term's log: positions above it in that term are not part of later terms. */
export interface TermEnd {
  readonly term: Term;
  readonly position: LogPosition;
}

/** Last served term, on which a promotion is based. */
export interface PromotionBase {
  /** Last term that served. */
  readonly term: Term;
  /** Term of its log positions, where the platform numbers terms itself. */
  readonly timeline?: Term;
  /** Primary of that term; absent when control never observed one. */
  readonly instance?: InstanceId;
  /** Every acknowledged write is at or below this position. */
  readonly required: LogPosition;
}

/**
 * An order to promote an instance that the platform may still carry out, also after later orders.
 * Until it is settled, writes are acknowledged only once that instance has received them.
 */
export interface UnsettledOrder {
  readonly term: Term;
  readonly instance: InstanceId;
}

/** Primary of a group, as decided by the control leader. */
export interface GroupPrimary {
  readonly kind: RecordKind.Primary;
  readonly group: GroupId;
  readonly term: Term;
  /**
   * Term of the instance's log positions, where the platform numbers terms itself; absent where
   * that is `term`, and while promoting.
   */
  readonly timeline?: Term;
  /** Control leader that decided on the pending promotion. */
  readonly decidedBy?: HostId;
  readonly instance: InstanceId;
  readonly phase: PrimaryPhase;
  /** Revision at which the term started serving; 0 before that. */
  readonly since: Revision;
  /** Orders that may still be carried out, where the platform does not check fencing tokens. */
  readonly unsettled?: readonly UnsettledOrder[];
  /** Present only while promoting. */
  readonly base?: PromotionBase;
  /**
   * Ends of the earlier terms, oldest first, up to a maximum number; a session position beyond the
   * end of its term is lost.
   */
  readonly history: readonly TermEnd[];
}

/**
 * Returns the term of the log positions of the last primary that served; undefined before the
 * first.
 */
export function getServedTimeline(primary: GroupPrimary): Term | undefined {
  if (primary.phase === PrimaryPhase.Promoting) {
    return primary.base?.timeline ?? primary.base?.term;
  }
  return primary.timeline ?? primary.term;
}
