import type { AccountId, GroupId, InstanceId } from '../../common/ids/index.js';
import { getSubjectName } from '../tickets/index.js';
import type { ControlRecordValue } from './controlRecord.js';
import { RecordKind } from './recordKind.js';

/** Returns the record name of a ticket's subject. */
export function getSubjectRecordName(subject: string): string {
  return `subject/${subject}`;
}

/** Returns the record name of an instance. */
export function getInstanceRecordName(group: GroupId, instance: InstanceId): string {
  return `instance/${group}/${instance}`;
}

/** Returns the record name of a group's holder. */
export function getGroupHolderRecordName(group: GroupId): string {
  return `group-holder/${group}`;
}

/** Returns the record name of a client account's holder. */
export function getAccountHolderRecordName(account: AccountId): string {
  return `account-holder/${account}`;
}

/** Returns the record name of a replica's reader. */
export function getInstanceReaderRecordName(group: GroupId, instance: InstanceId): string {
  return `instance-reader/${group}/${instance}`;
}

/** Returns the record name of a group's primary. */
export function getPrimaryRecordName(group: GroupId): string {
  return `primary/${group}`;
}

/** Returns the name of the record that a value belongs to. */
export function getRecordName(value: ControlRecordValue): string {
  switch (value.kind) {
    case RecordKind.Subject:
      return getSubjectRecordName(getSubjectName(value.state));
    case RecordKind.Instance:
      return getInstanceRecordName(value.group, value.instance);
    case RecordKind.GroupHolder:
      return getGroupHolderRecordName(value.group);
    case RecordKind.AccountHolder:
      return getAccountHolderRecordName(value.account);
    case RecordKind.InstanceReader:
      return getInstanceReaderRecordName(value.group, value.instance);
    case RecordKind.Primary:
      return getPrimaryRecordName(value.group);
  }
}
