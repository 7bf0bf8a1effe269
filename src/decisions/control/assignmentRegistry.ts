import type {
  AccountId,
  GroupId,
  HostId,
  InstanceId,
  LeaseId,
  Revision,
} from '../../common/ids/index.js';
import { toRevision } from '../../common/ids/index.js';
import type { AccountAssignment } from './accountAssignment.js';
import type { RetireLease } from './command.js';
import type { Assignment } from './assignment.js';
import type {
  AssignmentCommand,
  AssignReader,
  ReleaseAccount,
  ReleaseGroup,
} from './assignmentCommand.js';
import { CommandKind } from './commandKind.js';
import type { ControlRecordValue } from './controlRecord.js';
import type { GroupAssignment } from './groupAssignment.js';
import type { Holder } from './holder.js';
import type { ReaderAssignment } from './readerAssignment.js';
import { RecordKind } from './recordKind.js';
import {
  getAccountHolderRecordName,
  getGroupHolderRecordName,
  getInstanceReaderRecordName,
  getRecordName,
} from './recordNames.js';
import type { RecordTable } from './recordTable.js';

const MAXIMUM_RETIRED_LEASES = 20_000;

/**
 * Registry of the assignments of groups, client accounts and readers, stored in the replicated
 * records.
 */
export class AssignmentRegistry {
  private readonly retired = new Set<LeaseId>();
  /** Names of the assignment records whose holder has the lease. */
  private readonly recordNamesByLease = new Map<LeaseId, Set<string>>();
  /** Leases of each host that hold a resource. */
  private readonly leasesByHost = new Map<HostId, Set<LeaseId>>();
  /** Names of the records of each group's current readers. */
  private readonly readerRecordNames = new Map<GroupId, Set<string>>();

  constructor(private readonly records: RecordTable) {}

  /**
   * Applies a command; returns false when it was refused. Retiring a lease that holds nothing also
   * returns false.
   */
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
      case CommandKind.AssignReader:
        return this.assignReader(command, revision);
      case CommandKind.RetireLease:
        return this.retire(command.lease, revision);
    }
  }

  /** Returns the lease of an assignment record's holder. */
  getLease(name: string): LeaseId | undefined {
    return this.find(name)?.holder?.lease;
  }

  isRetired(lease: LeaseId): boolean {
    return this.retired.has(lease);
  }

  /** Returns the retired leases, oldest first, up to a maximum number. */
  getRetiredLeases(): LeaseId[] {
    return [...this.retired];
  }

  /** Returns one holder for each lease that holds a resource. */
  getHolders(): Holder[] {
    return this.findHolders(this.recordNamesByLease.keys());
  }

  /** Returns one holder for each lease of a host that holds a resource. */
  getHoldersOf(host: HostId): Holder[] {
    return this.findHolders(this.leasesByHost.get(host) ?? []);
  }

  /** Returns the assignments whose holder has the lease. */
  getAssignments(lease: LeaseId): Assignment[] {
    const names = this.recordNamesByLease.get(lease) ?? [];
    return [...names].map((name) => this.find(name)).filter((each) => each !== undefined);
  }

  /** Returns the reader assignments of a group's replicas, including replicas that are gone. */
  getReaders(group: GroupId): ReaderAssignment[] {
    return [...(this.readerRecordNames.get(group) ?? [])]
      .map((name) => this.find(name))
      .filter((each) => each?.kind === RecordKind.InstanceReader);
  }

  /** Restores the retired leases from a snapshot and indexes the restored records. */
  restore(retired: readonly LeaseId[]): void {
    this.retired.clear();
    this.recordNamesByLease.clear();
    this.leasesByHost.clear();
    this.readerRecordNames.clear();
    for (const lease of retired) {
      this.retired.add(lease);
    }
    for (const record of this.records.getSince(toRevision(0))) {
      const { value } = record;
      if (isAssignment(value)) {
        this.index(value);
      }
    }
  }

  /** Whether a resource has no holder and may be assigned. */
  protected isFree(present: Assignment | undefined): boolean {
    return present?.holder === undefined;
  }

  private assign(
    empty: Assignment,
    holder: Holder,
    expected: Revision,
    revision: Revision,
  ): boolean {
    const name = getRecordName(empty);
    const present = this.find(name);
    if (!this.hasRevision(name, expected) || !this.isFree(present)) {
      return false;
    }
    if (this.retired.has(holder.lease)) {
      return false;
    }
    this.set({ ...empty, ...getTokenFields(present), holder, since: revision }, revision);
    return true;
  }

  private assignReader(command: AssignReader, revision: Revision): boolean {
    const { group, instance, holder, expected } = command;
    const name = getInstanceReaderRecordName(group, instance);
    const present = this.find(name);
    const isSame = present?.holder?.lease === holder?.lease;
    if (isSame || !this.hasRevision(name, expected)) {
      return false;
    }
    if (holder !== undefined && this.retired.has(holder.lease)) {
      return false;
    }
    if (present !== undefined) {
      this.unindex(present);
    }
    const empty = createReader(group, instance);
    this.set({ ...empty, ...(holder && { holder }), since: revision }, revision);
    return true;
  }

  private drain(name: string, expected: Revision, revision: Revision): boolean {
    const present = this.find(name);
    if (present?.holder === undefined || present.kind === RecordKind.InstanceReader) {
      return false;
    }
    if (present.draining || !this.hasRevision(name, expected)) {
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
    if (present?.holder?.lease !== command.lease || !this.hasRevision(name, command.expected)) {
      return false;
    }
    const tokens = command.kind === CommandKind.ReleaseAccount ? command.tokens : undefined;
    this.unassign(present, revision, tokens);
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
    const names = [...(this.recordNamesByLease.get(lease) ?? [])];
    for (const name of names) {
      const present = this.find(name);
      if (present !== undefined) {
        this.unassign(present, revision);
      }
    }
    return names.length > 0;
  }

  private unassign(present: Assignment, revision: Revision, tokens?: number): void {
    this.unindex(present);
    const remainingTokens = tokens === undefined ? {} : { tokens };
    this.records.set({ ...createEmpty(present), ...remainingTokens, since: revision }, revision);
  }

  private set(assignment: Assignment, revision: Revision): void {
    this.records.set(assignment, revision);
    this.index(assignment);
  }

  private index(assignment: Assignment): void {
    const { holder } = assignment;
    if (holder === undefined) {
      return;
    }
    const name = getRecordName(assignment);
    addTo(this.recordNamesByLease, holder.lease, name);
    addTo(this.leasesByHost, holder.host, holder.lease);
    if (assignment.kind === RecordKind.InstanceReader) {
      addTo(this.readerRecordNames, assignment.group, name);
    }
  }

  private unindex(assignment: Assignment): void {
    const { holder } = assignment;
    if (holder === undefined) {
      return;
    }
    const name = getRecordName(assignment);
    removeFrom(this.recordNamesByLease, holder.lease, name);
    if (!this.recordNamesByLease.has(holder.lease)) {
      removeFrom(this.leasesByHost, holder.host, holder.lease);
    }
    if (assignment.kind === RecordKind.InstanceReader) {
      removeFrom(this.readerRecordNames, assignment.group, name);
    }
  }

  private findHolders(leases: Iterable<LeaseId>): Holder[] {
    const holders: Holder[] = [];
    for (const lease of leases) {
      const [name] = this.recordNamesByLease.get(lease) ?? [];
      const holder = name === undefined ? undefined : this.find(name)?.holder;
      if (holder !== undefined) {
        holders.push(holder);
      }
    }
    return holders;
  }

  private hasRevision(name: string, expected: Revision): boolean {
    return (this.records.get(name)?.revision ?? 0) === expected;
  }

  private find(name: string): Assignment | undefined {
    return this.records.get(name)?.value as Assignment | undefined;
  }
}

function isAssignment(value: ControlRecordValue): value is Assignment {
  return (
    value.kind === RecordKind.GroupHolder ||
    value.kind === RecordKind.AccountHolder ||
    value.kind === RecordKind.InstanceReader
  );
}

function addTo<Key, Value>(index: Map<Key, Set<Value>>, key: Key, value: Value): void {
  const values = index.get(key) ?? new Set<Value>();
  values.add(value);
  index.set(key, values);
}

function removeFrom<Key, Value>(index: Map<Key, Set<Value>>, key: Key, value: Value): void {
  const values = index.get(key);
  values?.delete(value);
  if (values?.size === 0) {
    index.delete(key);
  }
}

function createEmpty(assignment: Assignment): Assignment {
  switch (assignment.kind) {
    case RecordKind.GroupHolder:
      return createGroup(assignment.group);
    case RecordKind.AccountHolder:
      return createAccount(assignment.account);
    case RecordKind.InstanceReader:
      return createReader(assignment.group, assignment.instance);
  }
}

function createReader(group: GroupId, instance: InstanceId): ReaderAssignment {
  return { kind: RecordKind.InstanceReader, group, instance, since: toRevision(0) };
}

function getTokenFields(present: Assignment | undefined): { readonly tokens?: number } {
  return present?.kind === RecordKind.AccountHolder && present.tokens !== undefined
    ? { tokens: present.tokens }
    : {};
}

function createGroup(group: GroupId): GroupAssignment {
  return { kind: RecordKind.GroupHolder, group, draining: false, since: toRevision(0) };
}

function createAccount(account: AccountId): AccountAssignment {
  return { kind: RecordKind.AccountHolder, account, draining: false, since: toRevision(0) };
}
