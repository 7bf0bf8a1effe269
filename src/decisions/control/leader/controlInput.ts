import type {
  GroupId,
  HostId,
  InstanceId,
  LogPosition,
  Revision,
  Term,
} from '../../../common/ids/index.js';
import type { Command } from '../command.js';
import type { CommandAnswer } from '../commandAnswer.js';
import type { LeaseRenewal } from '../leaseRenewal.js';

/** Tells the inputs of the control leader apart. */
export enum ControlInputKind {
  BecameLeader = 'became-leader',
  LostLeadership = 'lost-leadership',
  Committed = 'committed',
  Renewal = 'renewal',
  Tick = 'tick',
  PromotionResult = 'promotion-result',
}

/** This host leads the control quorum, and every entry of earlier leaders is applied. */
export interface BecameLeader {
  readonly kind: ControlInputKind.BecameLeader;
  readonly host: HostId;
  readonly controlTerm: number;
}

/** This host leads no more. */
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

/** A daemon asks for its lease and reports. */
export interface Renewal {
  readonly kind: ControlInputKind.Renewal;
  readonly renewal: LeaseRenewal;
  /** This host's lease as leader of the control quorum is valid now. */
  readonly mayGrant: boolean;
}

/** Time has passed. */
export interface Tick {
  readonly kind: ControlInputKind.Tick;
}

/** The platform answered an order to promote. */
export interface PromotionResult {
  readonly kind: ControlInputKind.PromotionResult;
  readonly group: GroupId;
  readonly term: Term;
  readonly instance: InstanceId;
  readonly ok: boolean;
  /** The instance's position when it was promoted; absent when that is to be seen yet. */
  readonly position?: LogPosition;
}

/** Whatever the control leader is told. */
export type ControlInput =
  BecameLeader | LostLeadership | Committed | Renewal | Tick | PromotionResult;
