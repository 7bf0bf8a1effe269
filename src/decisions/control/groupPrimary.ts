import type { GroupId, InstanceId, LogPosition, Term } from '../../common/ids/index.js';
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

/** The primary of a group as control decided it. */
export interface GroupPrimary {
  readonly kind: RecordKind.Primary;
  readonly group: GroupId;
  readonly term: Term;
  readonly instance: InstanceId;
  readonly phase: PrimaryPhase;
  /** Where each earlier term ended, oldest first, bounded; a session position beyond its term's end is lost. */
  readonly history: readonly TermEnd[];
}
