import type {
  GroupId,
  HostId,
  InstanceId,
  LogPosition,
  Revision,
  Term,
} from '../../../common/ids/index.js';
import type { ReportOutcome, UsageReport } from '../../usage/index.js';
import type { Command } from '../command.js';
import type { CommandAnswer } from '../commandAnswer.js';
import type { LeaseRenewal } from '../leaseRenewal.js';

/** Kinds of input of the control leader. */
export enum ControlInputKind {
  BecameLeader = 'became-leader',
  LostLeadership = 'lost-leadership',
  Committed = 'committed',
  Renewal = 'renewal',
  Tick = 'tick',
  PromotionResult = 'promotion-result',
  ReportResult = 'report-result',
}

/** This host leads the control quorum and has applied every entry of earlier leaders. */
export interface BecameLeader {
  readonly kind: ControlInputKind.BecameLeader;
  readonly host: HostId;
  readonly controlTerm: number;
}

/** This host no longer leads the control quorum. */
export interface LostLeadership {
  readonly kind: ControlInputKind.LostLeadership;
}

/** A command was committed and applied to the control state. */
export interface Committed {
  readonly kind: ControlInputKind.Committed;
  readonly command: Command;
  readonly revision: Revision;
  readonly answer: CommandAnswer;
}

/** A daemon requests or renews its lease and sends its reports. */
export interface Renewal {
  readonly kind: ControlInputKind.Renewal;
  readonly renewal: LeaseRenewal;
  /** Whether this host's lease as leader of the control quorum is valid now. */
  readonly mayGrant: boolean;
}

/** Periodic tick: leases expire, and waiting groups and accounts are processed again. */
export interface Tick {
  readonly kind: ControlInputKind.Tick;
}

/** Answer of the platform to a promotion order. */
export interface PromotionResult {
  readonly kind: ControlInputKind.PromotionResult;
  readonly group: GroupId;
  readonly term: Term;
  readonly instance: InstanceId;
  readonly ok: boolean;
  /** Whether this order will not be carried out later; a refused one never will. */
  readonly isSettled: boolean;
  /** Position of the instance when it was promoted; absent if it is not known yet. */
  readonly position?: LogPosition;
}

/** The outcome of sending a usage report. */
export interface ReportResult {
  readonly kind: ControlInputKind.ReportResult;
  readonly report: UsageReport;
  readonly outcome: ReportOutcome;
}

/** Any input of the control leader. */
export type ControlInput =
  BecameLeader | LostLeadership | Committed | Renewal | Tick | PromotionResult | ReportResult;
