import type { AccountId, GroupId } from '../../common/ids/index.js';
import { getSubjectName, SubjectKind, type SubjectState } from '../tickets/index.js';
import type { ControlRecordValue } from './controlRecord.js';
import type { InstanceRecord } from './instanceRecord.js';
import { RecordKind } from './recordKind.js';

/**
 * Index of the replicated records' instances, subjects and client accounts, updated with each
 * change.
 */
export class RecordIndex {
  private readonly instances = new Map<GroupId, Map<string, InstanceRecord>>();
  /** Gone instances whose logs were not observed on another instance since. */
  private readonly departed = new Map<GroupId, Map<string, InstanceRecord>>();
  private readonly subjects = new Set<string>();
  private readonly accounts = new Set<AccountId>();
  /** Client accounts of the configuration in force. */
  private configuredAccounts: readonly AccountId[] = [];

  /** Adds the value of a new or changed record. */
  add(value: ControlRecordValue): void {
    if (value.kind === RecordKind.Instance) {
      const isGone = value.gone === true;
      update(this.instances, value, !isGone);
      update(this.departed, value, isGone && value.covered !== true);
    } else if (value.kind === RecordKind.Subject) {
      this.addSubject(value.state);
    }
  }

  /** Returns the names of all subjects in force. */
  getSubjects(): string[] {
    return [...this.subjects];
  }

  /** Returns the instances of a group in the order of their registration. */
  getInstances(group: GroupId): InstanceRecord[] {
    return [...(this.instances.get(group)?.values() ?? [])];
  }

  /** Returns the gone instances of a group whose logs were not observed on another instance since. */
  getDepartedInstances(group: GroupId): InstanceRecord[] {
    return [...(this.departed.get(group)?.values() ?? [])];
  }

  /** Returns the groups with at least one registered instance. */
  getGroups(): GroupId[] {
    return [...this.instances].filter(([, group]) => group.size > 0).map(([id]) => id);
  }

  getAccounts(): AccountId[] {
    return this.configuredAccounts.length === 0
      ? [...this.accounts]
      : [...new Set([...this.accounts, ...this.configuredAccounts])];
  }

  clear(): void {
    this.instances.clear();
    this.departed.clear();
    this.accounts.clear();
    this.configuredAccounts = [];
    this.subjects.clear();
  }

  private addSubject(state: SubjectState): void {
    this.subjects.add(getSubjectName(state));
    if (state.kind === SubjectKind.Account) {
      this.accounts.add(state.account);
    } else if (state.kind === SubjectKind.Configuration) {
      this.configuredAccounts = state.accounts.map(({ account }) => account);
    }
  }
}

/** Adds an instance to the index, or removes it. */
function update(
  index: Map<GroupId, Map<string, InstanceRecord>>,
  record: InstanceRecord,
  isIncluded: boolean,
): void {
  const group = index.get(record.group) ?? new Map<string, InstanceRecord>();
  if (isIncluded) {
    group.set(record.instance, record);
  } else {
    group.delete(record.instance);
  }
  index.set(record.group, group);
}
