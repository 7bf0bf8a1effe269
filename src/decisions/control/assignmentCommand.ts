import type { AccountId, GroupId, InstanceId, LeaseId, Revision } from '../../common/ids/index.js';
import type { CommandKind } from './commandKind.js';
import type { Holder } from './holder.js';

/** Assigns a group without a holder to a daemon's lease. */
export interface AssignGroup {
  readonly kind: CommandKind.AssignGroup;
  readonly group: GroupId;
  readonly holder: Holder;
  /** Revision of the current assignment record; 0 for none. */
  readonly expected: Revision;
}

/** Requests that a group's holder drain and release it. */
export interface DrainGroup {
  readonly kind: CommandKind.DrainGroup;
  readonly group: GroupId;
  readonly expected: Revision;
}

/** Records that a group's holder released it. */
export interface ReleaseGroup {
  readonly kind: CommandKind.ReleaseGroup;
  readonly group: GroupId;
  readonly lease: LeaseId;
  readonly expected: Revision;
}

/** Assigns a client account without a holder to a daemon's lease. */
export interface AssignAccount {
  readonly kind: CommandKind.AssignAccount;
  readonly account: AccountId;
  readonly holder: Holder;
  /** Revision of the current assignment record; 0 for none. */
  readonly expected: Revision;
}

/** Requests that a client account's holder release it. */
export interface DrainAccount {
  readonly kind: CommandKind.DrainAccount;
  readonly account: AccountId;
  readonly expected: Revision;
}

/** Records that a client account's holder released it. */
export interface ReleaseAccount {
  readonly kind: CommandKind.ReleaseAccount;
  readonly account: AccountId;
  readonly lease: LeaseId;
  readonly expected: Revision;
  /**
   * Tokens left in the released token bucket, which no daemon can use any more; none when absent.
   */
  readonly tokens?: number;
}

/** Assigns a replica's reads to another daemon's lease, or back to the group's holder. */
export interface AssignReader {
  readonly kind: CommandKind.AssignReader;
  readonly group: GroupId;
  readonly instance: InstanceId;
  /** The new reader; absent to remove the current one. */
  readonly holder?: Holder;
  /** Revision of the current reader record; 0 for none. */
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
