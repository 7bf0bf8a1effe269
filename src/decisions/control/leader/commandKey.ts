import type { WindowNumber } from '../../../common/ids/index.js';
import { SubjectKind } from '../../tickets/index.js';
import type { Command } from '../command.js';
import { CommandKind } from '../commandKind.js';
import {
  getAccountHolderRecordName,
  getGroupHolderRecordName,
  getInstanceReaderRecordName,
  getInstanceRecordName,
  getPrimaryRecordName,
  getSubjectRecordName,
} from '../recordNames.js';

/** Key under which a usage window is committed: one window at a time. */
export const USAGE_COMMIT_KEY = 'usage';

/** Name of the record that a proposed command changes; undefined for tickets. */
export function getCommandKey(command: Command): string | undefined {
  switch (command.kind) {
    case CommandKind.SubmitTicket:
    case CommandKind.SubmitPackedTicket:
    case CommandKind.SwitchDomain:
      return undefined;
    case CommandKind.SetControlMembers:
      return getSubjectRecordName(SubjectKind.ControlMembers);
    case CommandKind.RegisterInstance:
      return getInstanceRecordName(command.instance.group, command.instance.instance);
    case CommandKind.AssignGroup:
    case CommandKind.DrainGroup:
    case CommandKind.ReleaseGroup:
      return getGroupHolderRecordName(command.group);
    case CommandKind.AssignAccount:
    case CommandKind.DrainAccount:
    case CommandKind.ReleaseAccount:
      return getAccountHolderRecordName(command.account);
    case CommandKind.AssignReader:
      return getInstanceReaderRecordName(command.group, command.instance);
    case CommandKind.RetireLease:
      return getLeaseKey(command.lease);
    case CommandKind.RecordPrimary:
    case CommandKind.BeginMove:
    case CommandKind.BeginPromotion:
    case CommandKind.CompletePromotion:
    case CommandKind.SettleOrders:
      return getPrimaryRecordName(command.group);
    case CommandKind.CommitUsage:
      return USAGE_COMMIT_KEY;
    case CommandKind.SettleUsage:
      return getUsageSettlementKey(command.window);
    case CommandKind.KeepUsage:
      return getKeptUsageKey(command.usage.incarnation);
  }
}

/** Key under which the retirement of a lease is proposed. */
export function getLeaseKey(lease: string): string {
  return `lease/${lease}`;
}

/** Key under which the settlement of a usage window is proposed. */
export function getUsageSettlementKey(window: WindowNumber): string {
  return `usage/${window}`;
}

/** Key under which the counts of a silent host are kept. */
export function getKeptUsageKey(incarnation: string): string {
  return `kept-usage/${incarnation}`;
}
