import type {
  AccountId,
  FailureDomain,
  GroupId,
  InstanceId,
  LeaseId,
} from '../../common/ids/index.js';
import {
  Acknowledgement,
  ConfigurationIndex,
  SubjectKind,
  type AccountState,
  type ControlMembersState,
  type GroupState,
  type RouteState,
  type SubjectState,
} from '../tickets/index.js';
import type { AccountAssignment } from './accountAssignment.js';
import type { ControlRecordValue } from './controlRecord.js';
import type { GroupAssignment } from './groupAssignment.js';
import type { GroupPrimary } from './groupPrimary.js';
import type { InstanceRecord } from './instanceRecord.js';
import type { ReaderAssignment } from './readerAssignment.js';
import { RecordKind } from './recordKind.js';
import {
  getAccountHolderRecordName,
  getGroupHolderRecordName,
  getInstanceReaderRecordName,
  getInstanceRecordName,
  getPrimaryRecordName,
  getSubjectRecordName,
} from './recordNames.js';
import type { SubjectInForce } from './subjectInForce.js';

/** Typed lookups over a copy of the replicated records. */
export abstract class RecordLookup {
  private configuration: ConfigurationIndex | undefined;

  /** What is in force on a subject such as `account/mill-7`. */
  getSubject(subject: string): SubjectInForce | undefined {
    return this.getValue(RecordKind.Subject, getSubjectRecordName(subject));
  }

  /** The whole configuration, where operators replace it as one. */
  getConfiguration(): ConfigurationIndex | undefined {
    const state = this.getState(SubjectKind.Configuration, SubjectKind.Configuration);
    if (state !== this.configuration?.state) {
      this.configuration = state && new ConfigurationIndex(state);
    }
    return this.configuration;
  }

  /** A client account. */
  getAccount(account: AccountId): AccountState | undefined {
    const configured = this.getConfiguration()?.getAccount(account);
    const subject = `${SubjectKind.Account}/${account}`;
    return configured ?? this.getState(SubjectKind.Account, subject);
  }

  /** A route, by the database name that callers ask for. */
  getRoute(route: string): RouteState | undefined {
    const configured = this.getConfiguration()?.getRoute(route);
    return configured ?? this.getState(SubjectKind.Route, `${SubjectKind.Route}/${route}`);
  }

  /** A group as operators set it; undefined when no ticket did. */
  getGroup(group: GroupId): GroupState | undefined {
    const configured = this.getConfiguration()?.getGroup(group);
    return configured ?? this.getState(SubjectKind.Group, `${SubjectKind.Group}/${group}`);
  }

  /** When the group's writes are acknowledged; the safe way when no ticket says. */
  getAcknowledgement(group: GroupId): Acknowledgement {
    return this.getGroup(group)?.acknowledgement ?? Acknowledgement.Replica;
  }

  /** Whether a failure domain takes new work; true when no ticket says. */
  isInService(domain: FailureDomain): boolean {
    const subject = `${SubjectKind.FailureDomain}/${domain}`;
    return this.getState(SubjectKind.FailureDomain, subject)?.inService ?? true;
  }

  /** Whether a ticket or the backend server itself says that it is leaving. */
  isLeaving(group: GroupId, instance: InstanceId): boolean {
    const subject = `${SubjectKind.BackendServer}/${group}/${instance}`;
    const isLeavingByTicket = this.getState(SubjectKind.BackendServer, subject)?.leaving ?? false;
    return isLeavingByTicket || this.getInstance(group, instance)?.leaving === true;
  }

  /** The members that the control quorum is to have. */
  getControlMembers(): ControlMembersState | undefined {
    return this.getState(SubjectKind.ControlMembers, SubjectKind.ControlMembers);
  }

  /** The record of an instance. */
  getInstance(group: GroupId, instance: InstanceId): InstanceRecord | undefined {
    return this.getValue(RecordKind.Instance, getInstanceRecordName(group, instance));
  }

  /** A group's assignment. */
  getGroupAssignment(group: GroupId): GroupAssignment | undefined {
    return this.getValue(RecordKind.GroupHolder, getGroupHolderRecordName(group));
  }

  /** A client account's assignment. */
  getAccountAssignment(account: AccountId): AccountAssignment | undefined {
    return this.getValue(RecordKind.AccountHolder, getAccountHolderRecordName(account));
  }

  /** A replica's reader. */
  getReader(group: GroupId, instance: InstanceId): ReaderAssignment | undefined {
    return this.getValue(RecordKind.InstanceReader, getInstanceReaderRecordName(group, instance));
  }

  /** A group's primary. */
  getPrimary(group: GroupId): GroupPrimary | undefined {
    return this.getValue(RecordKind.Primary, getPrimaryRecordName(group));
  }

  /** Whether a lease is a group's holder. */
  isGroupHolder(group: GroupId, lease: LeaseId): boolean {
    return this.getGroupAssignment(group)?.holder?.lease === lease;
  }

  /** Whether a lease is a client account's holder. */
  isAccountHolder(account: AccountId, lease: LeaseId): boolean {
    return this.getAccountAssignment(account)?.holder?.lease === lease;
  }

  /** The value of the record of that name. */
  protected abstract findValue(name: string): ControlRecordValue | undefined;

  private getState<Kind extends SubjectKind>(
    kind: Kind,
    subject: string,
  ): Extract<SubjectState, { kind: Kind }> | undefined {
    const state = this.getSubject(subject)?.state;
    return state?.kind === kind ? (state as Extract<SubjectState, { kind: Kind }>) : undefined;
  }

  private getValue<Kind extends RecordKind>(
    kind: Kind,
    name: string,
  ): Extract<ControlRecordValue, { kind: Kind }> | undefined {
    const value = this.findValue(name);
    return value?.kind === kind
      ? (value as Extract<ControlRecordValue, { kind: Kind }>)
      : undefined;
  }
}
