import type { AccountId, GroupId, InstanceId, LeaseId, Revision } from '../../common/ids/index.js';
import type { CommandKind } from './commandKind.js';
import type { Holder } from './holder.js';

/** Gives a group without a holder to a daemon's lease. */
export interface AssignGroup {
  readonly kind: CommandKind.AssignGroup;
  readonly group: GroupId;
  readonly holder: Holder;
  /** Revision of the present assignment record; 0 for none. */
  readonly expected: Revision;
}

/** Asks a group's holder to drain and release it. */
export interface DrainGroup {
  readonly kind: CommandKind.DrainGroup;
  readonly group: GroupId;
  readonly expected: Revision;
}

/** Takes a group from a holder that gave it up. */
export interface ReleaseGroup {
  readonly kind: CommandKind.ReleaseGroup;
  readonly group: GroupId;
  readonly lease: LeaseId;
  readonly expected: Revision;
}

/** Gives a client account without a holder to a daemon's lease. */
export interface AssignAccount {
  readonly kind: CommandKind.AssignAccount;
  readonly account: AccountId;
  readonly holder: Holder;
  /** Revision of the present assignment record; 0 for none. */
  readonly expected: Revision;
}

/** Asks a client account's holder to release it. */
export interface DrainAccount {
  readonly kind: CommandKind.DrainAccount;
  readonly account: AccountId;
  readonly expected: Revision;
}

/** Takes a client account from a holder that gave it up. */
export interface ReleaseAccount {
  readonly kind: CommandKind.ReleaseAccount;
  readonly account: AccountId;
  readonly lease: LeaseId;
  readonly expected: Revision;
  /** Tokens left in its bucket, which nobody can use any more; none when left out. */
  readonly tokens?: number;
}

/** Gives a replica's reads to a daemon's lease in place of the present one, or back to the holder. */
export interface AssignReader {
  readonly kind: CommandKind.AssignReader;
  readonly group: GroupId;
  readonly instance: InstanceId;
  /** The reader; absent to take the present one away. */
  readonly holder?: Holder;
  /** Revision of the present reader record; 0 for none. */
  readonly expected: Revision;
}

/** A command that changes who holds a resource. */
export type AssignmentCommand =
  | AssignGroup
  | DrainGroup
  | ReleaseGroup
  | AssignAccount
  | DrainAccount
  | ReleaseAccount
  | AssignReader;
