import type { AssignmentCommand } from './assignmentCommand.js';
import type { CommandKind } from './commandKind.js';
import type { InstanceRecord } from './instanceRecord.js';
import type { PrimaryCommand } from './primaryCommand.js';
import type { UsageCommand } from './usageCommand.js';
import type { FailureDomain, LeaseId, Revision, TicketNumber } from '../../common/ids/index.js';
import type { ControlMember, Ticket } from '../tickets/index.js';

/** Puts a ticket in force if its number is above those in force on its subjects. */
export interface SubmitTicket {
  readonly kind: CommandKind.SubmitTicket;
  readonly ticket: Ticket;
  /** Hash of the ticket's content, where it was packed with it. */
  readonly hash?: string;
}

/**
 * A ticket in the form in which the log stores and sends it when it is large: packed and compressed
 * once. It becomes a `SubmitTicket` before it is applied.
 */
export interface SubmitPackedTicket {
  readonly kind: CommandKind.SubmitPackedTicket;
  readonly number: TicketNumber;
  /** Hash of the ticket's content. */
  readonly hash: string;
  readonly bytes: Uint8Array;
}

/** Records the state that a backend server announced. */
export interface RegisterInstance {
  readonly kind: CommandKind.RegisterInstance;
  readonly instance: InstanceRecord;
  /** Revision of the instance's current record; 0 for none. */
  readonly expected: Revision;
}

/** Takes a failure domain out of service or back into service. */
export interface SwitchDomain {
  readonly kind: CommandKind.SwitchDomain;
  readonly domain: FailureDomain;
  readonly inService: boolean;
  /**
   * Revision of the domain's current record; 0 for none. Absent in entries of earlier versions,
   * which apply in any case.
   */
  readonly expected?: Revision;
}

/** Sets the target members of the control quorum, as planned by the control leader. */
export interface SetControlMembers {
  readonly kind: CommandKind.SetControlMembers;
  readonly members: readonly ControlMember[];
  /** Revision of the current record; 0 for none. */
  readonly expected: Revision;
}

/** Retires a daemon lease permanently and releases all resources assigned to it. */
export interface RetireLease {
  readonly kind: CommandKind.RetireLease;
  readonly lease: LeaseId;
}

/**
 * Command of the control log. It names the state that it expects and is refused when that state has
 * changed, so that a delayed command of a deposed leader has no effect.
 */
export type Command =
  | SubmitTicket
  | SubmitPackedTicket
  | RegisterInstance
  | SwitchDomain
  | SetControlMembers
  | RetireLease
  | AssignmentCommand
  | PrimaryCommand
  | UsageCommand;
