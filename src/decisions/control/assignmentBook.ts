import type { AccountId, GroupId, LeaseId, Revision } from '../../common/ids/index.js';
import { toRevision } from '../../common/ids/index.js';
import type { AccountAssignment } from './accountAssignment.js';
import type { RetireLease } from './command.js';
import type { Assignment } from './assignment.js';
import type { AssignmentCommand, ReleaseAccount, ReleaseGroup } from './assignmentCommand.js';
import { CommandKind } from './commandKind.js';
import type { GroupAssignment } from './groupAssignment.js';
import type { Holder } from './holder.js';
import { RecordKind } from './recordKind.js';
import { getAccountHolderRecordName, getGroupHolderRecordName } from './recordNames.js';
import type { RecordTable } from './recordTable.js';

const MAXIMUM_RETIRED_LEASES = 20_000;

/** Who holds which resource, over the replicated records. */
export class AssignmentBook {
  private readonly retired = new Set<LeaseId>();
  /** Names of the assignment records that name each lease. */
  private readonly byLease = new Map<LeaseId, Set<string>>();

  constructor(private readonly records: RecordTable) {}

  /** Applies a command; false when it was refused. */
  apply(command: AssignmentCommand | RetireLease, revision: Revision): boolean {
    switch (command.kind) {
      case CommandKind.AssignGroup:
        return this.assign(createGroup(command.group), command.holder, command.expected, revision);
      case CommandKind.AssignAccount:
        return this.assign(
          createAccount(command.account),
          command.holder,
          command.expected,
          revision,
        );
      case CommandKind.DrainGroup:
        return this.drain(getGroupHolderRecordName(command.group), command.expected, revision);
      case CommandKind.DrainAccount:
        return this.drain(getAccountHolderRecordName(command.account), command.expected, revision);
      case CommandKind.ReleaseGroup:
        return this.release(getGroupHolderRecordName(command.group), command, revision);
      case CommandKind.ReleaseAccount:
        return this.release(getAccountHolderRecordName(command.account), command, revision);
      case CommandKind.RetireLease:
        return this.retire(command.lease, revision);
    }
  }

  /** The holder's lease of an assignment record. */
  getLease(name: string): LeaseId | undefined {
    return this.find(name)?.holder?.lease;
  }

  /** Whether a lease was retired. */
  isRetired(lease: LeaseId): boolean {
    return this.retired.has(lease);
  }

  /** The leases that were retired, oldest first, bounded. */
  getRetiredLeases(): LeaseId[] {
    return [...this.retired];
  }

  /** Each lease that holds something, as a holder. */
  getHolders(): Holder[] {
    const holders: Holder[] = [];
    for (const names of this.byLease.values()) {
      const [name] = names;
      const holder = name === undefined ? undefined : this.find(name)?.holder;
      if (holder !== undefined) {
        holders.push(holder);
      }
    }
    return holders;
  }

  /** The resources assigned to a lease. */
  getHeld(lease: LeaseId): Assignment[] {
    const names = this.byLease.get(lease) ?? [];
    return [...names].map((name) => this.find(name)).filter((each) => each !== undefined);
  }

  /** Takes over the retired leases and indexes the records. */
  restore(retired: readonly LeaseId[]): void {
    this.retired.clear();
    this.byLease.clear();
    for (const lease of retired) {
      this.retired.add(lease);
    }
    for (const record of this.records.getSince(toRevision(0))) {
      const { value } = record;
      if (value.kind === RecordKind.GroupHolder || value.kind === RecordKind.AccountHolder) {
        this.index(record.name, value.holder);
      }
    }
  }

  /** Whether a resource may be given to another lease. */
  protected isFree(present: Assignment | undefined): boolean {
    return present?.holder === undefined;
  }

  private assign(
    empty: Assignment,
    holder: Holder,
    expected: Revision,
    revision: Revision,
  ): boolean {
    const name = getName(empty);
    const present = this.find(name);
    if (!this.isAt(name, expected) || !this.isFree(present)) {
      return false;
    }
    if (this.retired.has(holder.lease)) {
      return false;
    }
    this.records.set({ ...empty, ...getTokens(present), holder, since: revision }, revision);
    this.index(name, holder);
    return true;
  }

  private drain(name: string, expected: Revision, revision: Revision): boolean {
    const present = this.find(name);
    if (present?.holder === undefined || present.draining || !this.isAt(name, expected)) {
      return false;
    }
    this.records.set({ ...present, draining: true }, revision);
    return true;
  }

  private release(
    name: string,
    command: ReleaseGroup | ReleaseAccount,
    revision: Revision,
  ): boolean {
    const present = this.find(name);
    if (present?.holder?.lease !== command.lease || !this.isAt(name, command.expected)) {
      return false;
    }
    const tokens = command.kind === CommandKind.ReleaseAccount ? command.tokens : undefined;
    this.free(name, present, revision, tokens);
    return true;
  }

  private retire(lease: LeaseId, revision: Revision): boolean {
    if (this.retired.has(lease)) {
      return false;
    }
    this.retired.add(lease);
    const [oldest] = this.retired;
    if (this.retired.size > MAXIMUM_RETIRED_LEASES && oldest !== undefined) {
      this.retired.delete(oldest);
    }
    const names = [...(this.byLease.get(lease) ?? [])];
    for (const name of names) {
      const present = this.find(name);
      if (present !== undefined) {
        this.free(name, present, revision);
      }
    }
    return names.length > 0;
  }

  private free(name: string, present: Assignment, revision: Revision, tokens?: number): void {
    const lease = present.holder?.lease;
    const empty =
      present.kind === RecordKind.GroupHolder
        ? createGroup(present.group)
        : createAccount(present.account);
    const left = tokens === undefined ? {} : { tokens };
    this.records.set({ ...empty, ...left, since: revision }, revision);
    if (lease !== undefined) {
      this.unindex(name, lease);
    }
  }

  private index(name: string, holder: Holder | undefined): void {
    if (holder === undefined) {
      return;
    }
    const names = this.byLease.get(holder.lease) ?? new Set<string>();
    names.add(name);
    this.byLease.set(holder.lease, names);
  }

  private unindex(name: string, lease: LeaseId): void {
    const names = this.byLease.get(lease);
    names?.delete(name);
    if (names?.size === 0) {
      this.byLease.delete(lease);
    }
  }

  private isAt(name: string, expected: Revision): boolean {
    return (this.records.get(name)?.revision ?? 0) === expected;
  }

  private find(name: string): Assignment | undefined {
    return this.records.get(name)?.value as Assignment | undefined;
  }
}

function getTokens(present: Assignment | undefined): { readonly tokens?: number } {
  return present?.kind === RecordKind.AccountHolder && present.tokens !== undefined
    ? { tokens: present.tokens }
    : {};
}

function getName(assignment: Assignment): string {
  return assignment.kind === RecordKind.GroupHolder
    ? getGroupHolderRecordName(assignment.group)
    : getAccountHolderRecordName(assignment.account);
}

function createGroup(group: GroupId): GroupAssignment {
  return { kind: RecordKind.GroupHolder, group, draining: false, since: toRevision(0) };
}

function createAccount(account: AccountId): AccountAssignment {
  return { kind: RecordKind.AccountHolder, account, draining: false, since: toRevision(0) };
}
