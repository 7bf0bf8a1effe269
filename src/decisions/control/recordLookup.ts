import type {
  AccountId,
  FailureDomain,
  GroupId,
  InstanceId,
  LeaseId,
  Revision,
} from '../../common/ids/index.js';
import {
  getFailureDomainSubject,
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

/** An instance whose log up to a revision may hold acknowledged writes that no other instance has. */
export interface UncoveredLog {
  readonly instance: InstanceId;
  /** Revision at which it left or restarted. */
  readonly revision: Revision;
}

/** Typed lookups in a copy of the replicated records. */
export abstract class RecordLookup {
  private configuration: ConfigurationIndex | undefined;

  /** Returns the ticket and state in force on a subject such as `account/mill-7`. */
  getSubject(subject: string): SubjectInForce | undefined {
    return this.getValue(RecordKind.Subject, getSubjectRecordName(subject));
  }

  /** Returns the complete configuration, where operators replace it as a whole. */
  getConfiguration(): ConfigurationIndex | undefined {
    const state = this.getState(SubjectKind.Configuration, SubjectKind.Configuration);
    if (state !== this.configuration?.state) {
      this.configuration = state && new ConfigurationIndex(state);
    }
    return this.configuration;
  }

  /** Returns a client account's configuration; undefined when there is none. */
  getAccount(account: AccountId): AccountState | undefined {
    const configured = this.getConfiguration()?.getAccount(account);
    const subject = `${SubjectKind.Account}/${account}`;
    return configured ?? this.getState(SubjectKind.Account, subject);
  }

  /** Returns a route by the database name that callers request. */
  getRoute(route: string): RouteState | undefined {
    const configured = this.getConfiguration()?.getRoute(route);
    return configured ?? this.getState(SubjectKind.Route, `${SubjectKind.Route}/${route}`);
  }

  /** Returns a group as configured by operators; undefined when no ticket configures it. */
  getGroup(group: GroupId): GroupState | undefined {
    const configured = this.getConfiguration()?.getGroup(group);
    return configured ?? this.getState(SubjectKind.Group, `${SubjectKind.Group}/${group}`);
  }

  /**
   * Returns when the group's writes are acknowledged; `Acknowledgement.Replica`, the safe mode, when
   * no ticket sets it.
   */
  getAcknowledgement(group: GroupId): Acknowledgement {
    return this.getGroup(group)?.acknowledgement ?? Acknowledgement.Replica;
  }

  /** Whether a failure domain accepts new work; true when it was never set. */
  isInService(domain: FailureDomain): boolean {
    const subject = getFailureDomainSubject(domain);
    return this.getState(SubjectKind.FailureDomain, subject)?.inService ?? true;
  }

  /** Whether a ticket or the backend server's own announcement marks it as leaving. */
  isLeaving(group: GroupId, instance: InstanceId): boolean {
    return (
      this.isLeavingByTicket(group, instance) || this.getInstance(group, instance)?.leaving === true
    );
  }

  /** Whether a ticket marks a backend server as leaving. */
  isLeavingByTicket(group: GroupId, instance: InstanceId): boolean {
    const subject = `${SubjectKind.BackendServer}/${group}/${instance}`;
    return this.getState(SubjectKind.BackendServer, subject)?.leaving ?? false;
  }

  /** Returns the target members of the control quorum. */
  getControlMembers(): ControlMembersState | undefined {
    return this.getState(SubjectKind.ControlMembers, SubjectKind.ControlMembers);
  }

  getInstance(group: GroupId, instance: InstanceId): InstanceRecord | undefined {
    return this.getValue(RecordKind.Instance, getInstanceRecordName(group, instance));
  }

  getGroupAssignment(group: GroupId): GroupAssignment | undefined {
    return this.getValue(RecordKind.GroupHolder, getGroupHolderRecordName(group));
  }

  getAccountAssignment(account: AccountId): AccountAssignment | undefined {
    return this.getValue(RecordKind.AccountHolder, getAccountHolderRecordName(account));
  }

  /** Returns the reader assignment of a replica. */
  getReader(group: GroupId, instance: InstanceId): ReaderAssignment | undefined {
    return this.getValue(RecordKind.InstanceReader, getInstanceReaderRecordName(group, instance));
  }

  getPrimary(group: GroupId): GroupPrimary | undefined {
    return this.getValue(RecordKind.Primary, getPrimaryRecordName(group));
  }

  /** Whether a lease belongs to a group's holder. */
  isGroupHolder(group: GroupId, lease: LeaseId): boolean {
    return this.getGroupAssignment(group)?.holder?.lease === lease;
  }

  /** Whether a lease belongs to a client account's holder. */
  isAccountHolder(account: AccountId, lease: LeaseId): boolean {
    return this.getAccountAssignment(account)?.holder?.lease === lease;
  }

  /**
   * Returns the instances of a group whose earlier logs may hold acknowledged writes that no other
   * instance has, each with the revision at which it left or restarted.
   */
  getUncoveredLogs(group: GroupId): readonly UncoveredLog[] {
    const departed = this.getDepartedInstances(group).map(({ instance }) => ({
      instance,
      revision: this.getRecordRevision(getInstanceRecordName(group, instance)),
    }));
    const restarted = this.getInstances(group).flatMap(({ instance, restarted: revision }) =>
      revision === undefined ? [] : [{ instance, revision }],
    );
    return [...departed, ...restarted];
  }

  /** Returns the instances of a group in the order of their registration. */
  abstract getInstances(group: GroupId): readonly InstanceRecord[];

  /** Returns the gone instances of a group whose logs were not observed on another instance since. */
  abstract getDepartedInstances(group: GroupId): readonly InstanceRecord[];

  /** Returns the revision at which a record last changed; 0 when there is none. */
  abstract getRecordRevision(name: string): Revision;

  /** Returns the value of the record of that name. */
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
