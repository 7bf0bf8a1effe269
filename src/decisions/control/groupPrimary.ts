import type {
  HostId,
  GroupId,
  InstanceId,
  LogPosition,
  Revision,
  Term,
} from '../../common/ids/index.js';
import type { RecordKind } from './recordKind.js';

/** How far a change of primary has come. */
export enum PrimaryPhase {
  /** The instance is primary of the term and writes may be acknowledged. */
  Serving = 'serving',
  /** The holder is to stop writes so that a planned move loses nothing. */
  Moving = 'moving',
  /** The platform has been or will be told to promote the instance; no writes. */
  Promoting = 'promoting',
}

/** One end of a history: positions above it in that term are not part of later terms. */
export interface TermEnd {
  readonly term: Term;
  readonly position: LogPosition;
}

/** What a promotion follows on. */
export interface PromotionBase {
  /** The last term that served. */
  readonly term: Term;
  /** Term of its log positions, where the platform numbers them itself. */
  readonly timeline?: Term;
  /** The primary of that term; absent when control never saw one. */
  readonly instance?: InstanceId;
  /** Every acknowledged write is at or below this position. */
  readonly required: LogPosition;
}

/** The primary of a group as control decided it. */
export interface GroupPrimary {
  readonly kind: RecordKind.Primary;
  readonly group: GroupId;
  readonly term: Term;
  /**
   * Term that the instance's log positions carry, where the platform numbers terms itself; absent
   * where they carry `term`, and while promoting.
   */
  readonly timeline?: Term;
  /** The control leader that decided on the promotion under way. */
  readonly decidedBy?: HostId;
  readonly instance: InstanceId;
  readonly phase: PrimaryPhase;
  /** Revision at which the term began to serve; 0 until then. */
  readonly since: Revision;
  /** Set while promoting. */
  readonly base?: PromotionBase;
  /** Where each earlier term ended, oldest first, bounded; a session position beyond its term's end is lost. */
  readonly history: readonly TermEnd[];
}

/** Term of the log positions of the last primary that served; undefined before the first. */
export function getServedTimeline(primary: GroupPrimary): Term | undefined {
  if (primary.phase === PrimaryPhase.Promoting) {
    return primary.base?.timeline ?? primary.base?.term;
  }
  return primary.timeline ?? primary.term;
}
