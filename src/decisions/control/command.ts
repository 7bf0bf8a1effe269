import type { AssignmentCommand } from './assignmentCommand.js';
import type { CommandKind } from './commandKind.js';
import type { InstanceRecord } from './instanceRecord.js';
import type { PrimaryCommand } from './primaryCommand.js';
import type { FailureDomain, LeaseId, Revision } from '../../common/ids/index.js';
import type { ControlMember, Ticket } from '../tickets/index.js';

/** Puts a ticket in force, if its number allows. */
export interface SubmitTicket {
  readonly kind: CommandKind.SubmitTicket;
  readonly ticket: Ticket;
}

/** Records what a backend server announced of itself. */
export interface RegisterInstance {
  readonly kind: CommandKind.RegisterInstance;
  readonly instance: InstanceRecord;
  /** Revision of the instance's present record; 0 for none. */
  readonly expected: Revision;
}

/** Takes a failure domain out of service or back, in the order of arrival. */
export interface SwitchDomain {
  readonly kind: CommandKind.SwitchDomain;
  readonly domain: FailureDomain;
  readonly inService: boolean;
}

/** Sets the members that the control quorum is to have, as the leader plans them. */
export interface SetControlMembers {
  readonly kind: CommandKind.SetControlMembers;
  readonly members: readonly ControlMember[];
  /** Revision of the present record; 0 for none. */
  readonly expected: Revision;
}

/** Ends a daemon lease for good and frees all that it held. */
export interface RetireLease {
  readonly kind: CommandKind.RetireLease;
  readonly lease: LeaseId;
}

/**
 * A command of the control log. It names the state that it expects and is refused when that has
 * changed, so that a deposed leader's late command does no harm.
 */
export type Command =
  | SubmitTicket
  | RegisterInstance
  | SwitchDomain
  | SetControlMembers
  | RetireLease
  | AssignmentCommand
  | PrimaryCommand;
